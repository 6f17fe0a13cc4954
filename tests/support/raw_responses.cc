#include "support/raw_responses.h"

namespace daisywinch::test {

namespace {

using std::string_literals::operator""s;

// Functions, as test cases are registered before a variable may be initialized.
std::string Length() {
  return "Content-Length: 2\r\n";
}

std::string Chunked() {
  return "Transfer-Encoding: chunked\r\n";
}

/// A body in chunks, up to its trailer.
std::string Chunks() {
  return "2\r\nok\r\n0\r\n";
}

/// A response whose header and body follow the attempt id and the signature.
std::string MakeResponse(const std::string& status, const std::string& rest) {
  return "HTTP/1.1 " + status +
         "\r\nX-Daisywinch-Attempt-Id: {id}\r\n"
         "X-Daisywinch-Response-Signature: s\r\n" +
         rest;
}

/// Statuses without a class, of interim responses, and of no three digits.
std::vector<RawResponse> InvalidStatuses() {
  std::vector<RawResponse> responses;
  for (const char* status : {"000", "001", "099", "100", "101", "102", "199",
                             "600", "999", "-20", "2 0", "20", "2000"}) {
    responses.push_back(
        {"status "s + status, MakeRawResponse(status + " Odd"s)});
  }
  return responses;
}

/// Field names that are no token (RFC 9110, 5.1).
std::vector<RawResponse> InvalidNames() {
  std::vector<RawResponse> responses;
  for (const std::string& blank : {" "s, "\t"s}) {
    const std::string name = blank == " " ? "space" : "tab";
    responses.push_back({name + " before the first field",
                         "HTTP/1.1 200 OK\r\n" + blank + "A: b\r\n" +
                             MakeRawResponse("200 OK").substr(17)});
    responses.push_back(
        {name + " before the colon",
         MakeResponse("200 OK", "Content-Length" + blank + ": 2\r\n\r\nok")});
  }
  for (const std::string& byte :
       {" "s, "\t"s, "\0"s, "\x01"s, "\r"s, "\n"s, "\x1b"s, "\x7f"s, "\x80"s,
        "\xff"s, "("s, "\""s, "{"s}) {
    const std::string name =
        "byte " + std::to_string(static_cast<unsigned char>(byte[0])) +
        " in the name of ";
    responses.push_back(
        {name + "the length",
         MakeResponse("200 OK", "Content" + byte + "Length: 2\r\n\r\nok")});
    responses.push_back({name + "another field",
                         MakeRawResponse("200 OK", "A" + byte + "b: c\r\n")});
    responses.push_back(
        {name + "a trailer",
         MakeResponse("200 OK", Chunked() + "\r\n" + Chunks() + "A" + byte +
                                    "b: c\r\n\r\n")});
  }
  responses.push_back({"empty name", MakeRawResponse("200 OK", ": b\r\n")});
  responses.push_back({"no colon", MakeRawResponse("200 OK", "A\r\n")});
  return responses;
}

/// Lines that begin with a blank, behind another field (RFC 9112, 5.2).
std::vector<RawResponse> FoldedFields() {
  std::vector<RawResponse> responses;
  for (const std::string& blank : {" "s, "\t"s}) {
    const std::string name = blank == " " ? "space" : "tab";
    responses.push_back(
        {name + " before the length",
         MakeResponse("200 OK", "A: b\r\n" + blank + Length() + "\r\nok")});
    responses.push_back(
        {name + " before the last field",
         MakeRawResponse("200 OK", "A: b\r\n" + blank + "C: d\r\n")});
    responses.push_back(
        {name + " before a line of blanks",
         MakeRawResponse("200 OK", "A: b\r\n" + blank + "\r\n")});
    responses.push_back(
        {name + " before a trailer",
         MakeResponse("200 OK", Chunked() + "\r\n" + Chunks() + "A: b\r\n" +
                                    blank + "C: d\r\n\r\n")});
  }
  return responses;
}

/// Transfer codings other than one "chunked".
std::vector<RawResponse> InvalidTransferCodings() {
  std::vector<RawResponse> responses;
  for (const std::string& codings :
       {"chunked, chunked"s, "gzip"s, "gzip, chunked"s, "identity"s,
        "chunked, gzip"s, "x"s, ""s}) {
    responses.push_back(
        {"transfer coding '" + codings + "'",
         MakeResponse("200 OK", "Transfer-Encoding: " + codings + "\r\n\r\n" +
                                    Chunks() + "\r\n")});
  }
  responses.push_back(
      {"two fields with transfer codings",
       MakeResponse("200 OK", "Transfer-Encoding: gzip\r\n" + Chunked() +
                                  "\r\n" + Chunks() + "\r\n")});
  return responses;
}

/// Other headers that aren't valid.
std::vector<RawResponse> OtherInvalidHeaders() {
  std::vector<RawResponse> responses;
  responses.push_back({"length beside chunks",
                       MakeResponse("200 OK", Length() + Chunked() + "\r\n" +
                                                  Chunks() + "\r\n")});
  responses.push_back(
      {"two lengths", MakeRawResponse("200 OK", "Content-Length: 3\r\n")});
  responses.push_back(
      {"control byte in a value", MakeRawResponse("200 OK", "A: b\x01\r\n")});
  responses.push_back(
      {"control byte in the reason", MakeRawResponse("200 O\x01K")});
  return responses;
}

}  // namespace

std::string MakeRawResponse(const std::string& status,
                            const std::string& fields) {
  return MakeResponse(status, fields + Length() + "\r\nok");
}

std::vector<RawResponse> InvalidResponses() {
  std::vector<RawResponse> all;
  for (const std::vector<RawResponse>& responses :
       {InvalidStatuses(), InvalidNames(), FoldedFields(),
        InvalidTransferCodings(), OtherInvalidHeaders()}) {
    all.insert(all.end(), responses.begin(), responses.end());
  }
  for (RawResponse& response : all) {
    response.closes = true;
  }
  return all;
}

std::vector<RawResponse> ValidResponses() {
  return {
      {"length", MakeRawResponse("200 OK")},
      {"length given twice", MakeRawResponse("200 OK", Length())},
      {"chunks",
       MakeResponse("200 OK", Chunked() + "\r\n" + Chunks() + "\r\n")},
      {"chunks in capitals",
       MakeResponse("200 OK",
                    "TRANSFER-ENCODING: CHUNKED\r\n\r\n" + Chunks() + "\r\n")},
      {"trailer",
       MakeResponse("200 OK", Chunked() + "\r\n" + Chunks() + "A: b\r\n\r\n")},
      {"end of the connection", MakeResponse("200 OK", "\r\nok"), true},
      {"body that begins like a folded line",
       MakeResponse("200 OK", Length() + "\r\n \t")},
      {"empty value", MakeRawResponse("200 OK", "A:\r\n")},
      {"blanks around a value", MakeRawResponse("200 OK", "A: \t b \t\r\n")},
      {"no reason", MakeRawResponse("200 ")},
      {"no content", MakeResponse("204 No Content", "\r\n")},
      {"not modified", MakeResponse("304 Not Modified", Length() + "\r\n")},
      {"unknown client error", MakeRawResponse("499 Odd")},
      {"server error", MakeRawResponse("500 Internal Server Error")},
      {"unknown server error", MakeRawResponse("599 Odd")},
  };
}

}  // namespace daisywinch::test
