#include "platform/store_calls.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>

#include <openssl/evp.h>

#include "state/object_reader.h"

namespace daisywinch::platform {

namespace {

constexpr NumberRange kRevisionRange = {0, 9e15};
constexpr std::string_view kEraHeader = "Store-Era";

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const unsigned char byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' ||
        character == '.' || character == '/') {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kDigits[byte / 16];
      encoded += kDigits[byte % 16];
    }
  }
  return encoded;
}

HttpRequest MakeRequest(const std::string& target) {
  return {http::verb::get, target, 11};
}

/// Decodes standard base64 with padding (RFC 4648); empty if the text is
/// invalid.
std::string DecodeBase64(const std::string& text) {
  // Four characters, including padding, encode three bytes.
  std::string bytes(text.size() / 4 * 3, '\0');
  const int count =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (count < 0) {
    return {};
  }
  const std::ptrdiff_t padding =
      std::count(text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)),
                 text.end(), '=');
  bytes.resize(count - padding);
  return bytes;
}

/// Reads an item. Anyone may have written its value, so that a faulty one must
/// not keep the other items of the page from being read: without a valid value
/// the item has an empty one, and without a valid revision that of the page.
/// Only a missing key is an error of the page.
StoreItem ReadItem(const boost::json::value& json,
                   std::uint64_t page_revision,
                   ValidationErrorList& page_errors) {
  StoreItem item;
  item.key = ObjectReader(json, "", page_errors).String("Key");
  ValidationErrorList errors(item.key);
  ObjectReader reader(json, "", errors);
  item.revision = reader.Integer("Rev", kRevisionRange);
  if (!errors.empty()) {
    item.revision = page_revision;
  }
  item.is_removed = reader.Boolean("Removed", false);
  if (!item.is_removed && reader.Has("Value")) {
    item.value = DecodeBase64(reader.String("Value", ""));
  }
  return item;
}

}  // namespace

HttpRequest MakeRangeRequest(std::string_view prefix, std::string_view after) {
  std::string target = "/kv-range?Prefix=" + PercentEncode(prefix);
  if (!after.empty()) {
    target += "&after=" + PercentEncode(after);
  }
  return MakeRequest(target);
}

HttpRequest MakeWatchRequest(std::string_view prefix,
                             std::uint64_t after,
                             Duration wait) {
  const std::int64_t wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  return MakeRequest("/kv-watch?Prefix=" + PercentEncode(prefix) +
                     "&after=" + std::to_string(after) +
                     "&WaitMs=" + std::to_string(wait_ms));
}

std::optional<StorePage> DecodePage(const HttpResponse& response,
                                    std::string& error) {
  if (response.result() != http::status::ok) {
    error = "the store responded with status " +
            std::to_string(response.result_int());
    return std::nullopt;
  }
  ValidationErrorList errors("store response");
  const std::optional<boost::json::value> json =
      ParseJson(response.body(), errors);
  StorePage page;
  if (json) {
    ObjectReader reader(*json, "", errors);
    page.position.era = ReadEra(response);
    page.position.revision = reader.Integer("StoreRevision", kRevisionRange);
    page.has_more = reader.Boolean("HasMore", false);
    const std::string_view list = reader.Has("events") ? "events" : "items";
    for (const boost::json::value& item : reader.Array(list)) {
      page.items.push_back(ReadItem(item, page.position.revision, errors));
    }
  }
  if (!errors.empty()) {
    error = errors.Errors().front().ToString();
    return std::nullopt;
  }
  return page;
}

std::uint64_t ReadEra(const HttpResponse& response) {
  const std::string_view text = response[kEraHeader];
  std::uint64_t era = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), era);
  return result.ec == std::errc() && result.ptr == text.data() + text.size()
             ? era
             : 0;
}

bool IsHistoryGone(const HttpResponse& response) {
  return response.result() == http::status::gone;
}

}  // namespace daisywinch::platform
