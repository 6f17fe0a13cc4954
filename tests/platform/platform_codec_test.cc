// Tests the codecs for the platform's formats: valid input is decoded, and
// invalid input is rejected with the location of the error.
#include "platform/operator_documents.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "platform/attempt_messages.h"
#include "platform/store_calls.h"

namespace daisywinch {

namespace {

std::string Configuration(const std::string& route,
                          const std::string& rest = "") {
  return R"({"Version":"0000000c","Routes":{"r":)" + route +
         R"(},"Services":{"s":{"ColdPerS":16.0,"ColdStart":"3s"}})" + rest +
         "}";
}

constexpr char kGoodRoute[] =
    R"({"Host":"h","Prefix":"/a/","Kind":"download","Service":"s",
        "Timeout":"1200ms","TargetLatency":"1.5s","Priority":2,
        "MaxAttempts":3})";

/// The first error in a configuration; empty if there is none.
std::string FirstError(const std::string& text) {
  ValidationErrorList errors("op/config");
  platform::DecodeConfiguration(text, errors);
  return errors.empty() ? "" : errors.Errors().front().ToString();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_codec)

BOOST_AUTO_TEST_CASE(configuration_is_decoded) {
  ValidationErrorList errors("op/config");
  const std::shared_ptr<const MeshConfiguration> configuration =
      platform::DecodeConfiguration(
          Configuration(kGoodRoute,
                        R"(,"Tenants":{"t":{"ApiKeys":["k"],"RatePerS":89,
                           "Burst":80,"Priority":1}})"),
          errors);
  BOOST_REQUIRE(configuration != nullptr);
  BOOST_TEST(configuration->Version() == 12);
  const MeshRoute* route = configuration->FindRoute("h", "/a/b?c=/x/");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(route->repeatable);
  BOOST_TEST((route->objective == std::chrono::milliseconds(1500)));
  BOOST_TEST(route->max_attempts == 3);
  BOOST_TEST(configuration->FindRoute("h", "/ab/") == nullptr);
  BOOST_TEST(configuration->FindRoute("other", "/a/b") == nullptr);
  BOOST_TEST(configuration->FindService("s")->cold_rate == 16);
  BOOST_REQUIRE(configuration->FindCustomer("k") != nullptr);
  BOOST_TEST(configuration->FindCustomer("k")->burst == 80);
  BOOST_TEST(configuration->FindCustomer("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
  ValidationErrorList errors("op/config");
  const std::shared_ptr<const MeshConfiguration> configuration =
      platform::DecodeConfiguration(
          R"({"Version":"01","Services":{"s":{}},"Routes":{
             "short":{"Host":"h","Prefix":"/a/","Kind":"safe","Service":"s"},
             "long":{"Host":"h","Prefix":"/a/b/","Kind":"unsafe",
                     "Service":"s"}}})",
          errors);
  BOOST_REQUIRE(configuration != nullptr);
  BOOST_TEST(configuration->FindRoute("h", "/a/b/c")->name == "long");
  BOOST_TEST(!configuration->FindRoute("h", "/a/b/c")->repeatable);
  BOOST_TEST(configuration->FindRoute("h", "/a/c")->name == "short");
}

BOOST_AUTO_TEST_CASE(
    invalid_configuration_is_rejected_with_the_error_location) {
  BOOST_TEST(FirstError(Configuration(kGoodRoute)).empty());
  BOOST_TEST(FirstError("{\"Version\":\"0000").find("line 1") !=
             std::string::npos);
  BOOST_TEST(
      FirstError(Configuration(R"({"Host":"h","Prefix":"/a","Kind":"safe",
                                       "Service":"s"})"))
          .find("/Routes/r/Prefix") != std::string::npos);
  BOOST_TEST(FirstError(Configuration(R"({"Prefix":"/a/","Kind":"safe",
                                       "Service":"s"})"))
                 .find("/Routes/r/Host") != std::string::npos);
  BOOST_TEST(FirstError(Configuration(R"({"Host":"h","Prefix":"/a/",
                                       "Kind":"safe","Service":"other"})"))
                 .find("unknown service") != std::string::npos);
  BOOST_TEST(FirstError(Configuration(
                            R"({"Host":"h","Prefix":"/a/","Kind":"safe",
                     "TrafficSplit":[{"Service":"s","Weight":0}]})"))
                 .find("TrafficSplit") != std::string::npos);
  BOOST_TEST(FirstError(Configuration(kGoodRoute,
                                      R"(,"Tenants":{"a":{"ApiKeys":["k"]},
                                      "b":{"ApiKeys":["k"]}})"))
                 .find("another customer") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(valid_target_record_is_decoded_and_invalid_ones_rejected) {
  const std::string good =
      R"({"Address":"10.0.0.9:80","born":5,"Info":{"Service":"s","Zone":"z",
         "Slots":9},"Status":{"State":"draining","Seq":1,"ColdLeft":"250ms"}})";
  ValidationErrorList errors("servers/i-1");
  const std::optional<MeshTarget> target =
      platform::DecodeTarget("i-1", good, errors);
  BOOST_REQUIRE(target.has_value());
  BOOST_TEST(target->leaving);
  BOOST_TEST(target->born == 5);
  BOOST_TEST(target->sequence == 1);
  BOOST_TEST((target->cold_left == std::chrono::milliseconds(250)));
  for (const char* bad :
       {"", "[]", "\x01\x02", R"({"Address":"x"})",
        R"({"Address":"10.0.0.9:80","Info":{"Service":"s","Zone":"z",
            "Slots":9},"Status":{"State":"asleep"}})",
        R"({"Address":"10.0.0.9:80","Info":{"Service":7,"Zone":"z",
            "Slots":9},"Status":{"State":"ready"}})"}) {
    ValidationErrorList bad_errors("servers/i-1");
    BOOST_TEST(!platform::DecodeTarget("i-1", bad, bad_errors).has_value());
    BOOST_TEST(!bad_errors.empty());
  }
}

BOOST_AUTO_TEST_CASE(store_pages_are_decoded_and_malformed_ones_rejected) {
  HttpResponse response(http::status::ok, 11);
  response.body() =
      R"({"events":[{"Key":"a","Value":"bm9kZS0x","Rev":4},
         {"Key":"b","Rev":5,"Removed":true}],"StoreRevision":6})";
  std::string reason;
  const std::optional<platform::StorePage> page =
      platform::DecodePage(response, reason);
  BOOST_REQUIRE(page.has_value());
  const StorePosition expected = {0, 6};
  BOOST_TEST((page->position == expected));
  BOOST_TEST(page->items[0].value == "node-1");
  BOOST_TEST(page->items[1].is_removed);
  response.body() = R"({"events":[{"Key":"a")";
  BOOST_TEST(!platform::DecodePage(response, reason).has_value());
  BOOST_TEST(!reason.empty());
  response.result(http::status::too_many_requests);
  BOOST_TEST(!platform::DecodePage(response, reason).has_value());
  BOOST_TEST(reason.find("429") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(store_page_states_the_era_of_its_revision) {
  HttpResponse response(http::status::ok, 11);
  response.body() = R"({"items":[],"StoreRevision":6})";
  std::string reason;
  for (const auto& [header, era] :
       std::map<std::string, std::uint64_t>{{"3", 3}, {"x", 0}, {"3x", 0}}) {
    response.set("Store-Era", header);
    const std::optional<platform::StorePage> page =
        platform::DecodePage(response, reason);
    BOOST_REQUIRE(page.has_value());
    const StorePosition expected = {era, 6};
    BOOST_TEST((page->position == expected));
    BOOST_TEST(platform::ReadEra(response) == era);
  }
}

BOOST_AUTO_TEST_CASE(responses_are_classified_by_status_and_headers) {
  using platform::ResponseClass;
  HttpResponse response(http::status::ok, 11);
  response.set("X-Daisywinch-Attempt-Id", "a");
  BOOST_TEST(
      (platform::ClassifyResponse(response, "a") == ResponseClass::kInvalid));
  response.set("X-Daisywinch-Response-Signature", "s");
  BOOST_TEST(
      (platform::ClassifyResponse(response, "a") == ResponseClass::kAnswered));
  BOOST_TEST(
      (platform::ClassifyResponse(response, "b") == ResponseClass::kInvalid));
  response.set(http::field::content_encoding, "gzip");
  BOOST_TEST(
      (platform::ClassifyResponse(response, "a") == ResponseClass::kInvalid));
  HttpResponse shed(http::status::service_unavailable, 11);
  shed.set("X-Daisywinch-Attempt-Id", "a");
  shed.set("X-Daisywinch-Not-Executed", "1");
  BOOST_TEST((platform::ClassifyResponse(shed, "a") == ResponseClass::kNotRun));
  BOOST_TEST(
      (platform::ClassifyResponse(shed, "b") == ResponseClass::kInvalid));
  HttpResponse other(http::status::misdirected_request, 11);
  other.set("X-Daisywinch-Attempt-Id", "a");
  BOOST_TEST(
      (platform::ClassifyResponse(other, "a") == ResponseClass::kOtherTarget));
  BOOST_TEST(
      (platform::ClassifyResponse(other, "b") == ResponseClass::kInvalid));
}

// Guards against a refusal that a target wrote before, or for another request,
// and that stands where the response to this one is due.
BOOST_AUTO_TEST_CASE(response_without_the_attempt_id_says_nothing_of_it) {
  using platform::ResponseClass;
  for (const http::status status :
       {http::status::ok, http::status::service_unavailable,
        http::status::too_many_requests, http::status::misdirected_request,
        http::status::bad_request, http::status::internal_server_error}) {
    HttpResponse response(status, 11);
    response.set("X-Daisywinch-Not-Executed", "1");
    response.set("X-Daisywinch-Response-Signature", "s");
    BOOST_TEST(
        (platform::ClassifyResponse(response, "a") == ResponseClass::kInvalid));
  }
}

// These statuses tell callers that the request has not run, which only the
// target can know.
BOOST_AUTO_TEST_CASE(refusal_without_a_statement_is_not_passed_on) {
  using platform::ResponseClass;
  for (const http::status status :
       {http::status::service_unavailable, http::status::too_many_requests,
        http::status::request_timeout}) {
    HttpResponse response(status, 11);
    response.set("X-Daisywinch-Attempt-Id", "a");
    BOOST_TEST(
        (platform::ClassifyResponse(response, "a") == ResponseClass::kInvalid));
    response.set("X-Daisywinch-Response-Signature", "s");
    BOOST_TEST((platform::ClassifyResponse(response, "a") ==
                ResponseClass::kAnswered));
  }
  HttpResponse failure(http::status::internal_server_error, 11);
  failure.set("X-Daisywinch-Attempt-Id", "a");
  BOOST_TEST(
      (platform::ClassifyResponse(failure, "a") == ResponseClass::kAnswered));
}

BOOST_AUTO_TEST_CASE(response_to_a_request_is_none_to_a_health_check) {
  HttpResponse response(http::status::ok, 11);
  response.set("X-Daisywinch-Instance-Id", "i-1");
  response.set("X-Daisywinch-Cold-Start-Ms", "250");
  const std::optional<platform::HealthResponse> health =
      platform::ReadHealthResponse(response);
  BOOST_REQUIRE(health.has_value());
  BOOST_TEST(health->target_id == "i-1");
  BOOST_TEST((health->cold_left == std::chrono::milliseconds(250)));
  response.set("X-Daisywinch-Attempt-Id", "a");
  BOOST_TEST(!platform::ReadHealthResponse(response).has_value());
}

// Guards against one faulty item that keeps nodes from reading all others.
BOOST_AUTO_TEST_CASE(faulty_item_does_not_fail_its_page) {
  const std::string good = R"({"Key":"a","Value":"bm9kZS0x","Rev":4})";
  for (const char* odd :
       {R"({"Key":"b","Value":"","Rev":5})", R"({"Key":"b","Value":7,"Rev":5})",
        R"({"Key":"b","Value":"?","Rev":5})", R"({"Key":"b","Rev":"x"})",
        R"({"Key":"b","Value":"bm9kZS0x","Rev":1e300})",
        R"({"Key":"b","Value":"bm9kZS0x","Rev":-1})"}) {
    HttpResponse response(http::status::ok, 11);
    response.body() = R"({"items":[)";
    response.body().append(good).append(",").append(odd).append(",");
    response.body().append(good).append(R"(],"StoreRevision":6})");
    std::string reason;
    const std::optional<platform::StorePage> page =
        platform::DecodePage(response, reason);
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->items.size() == 3);
    BOOST_TEST(page->items[0].value == "node-1");
    // The key is there, so that the record isn't taken for a removed one.
    BOOST_TEST(page->items[1].key == "b");
    BOOST_TEST(!page->items[1].is_removed);
    BOOST_TEST(page->items[2].value == "node-1");
  }
}

BOOST_AUTO_TEST_CASE(random_records_of_targets_are_read_or_refused) {
  const std::string record =
      R"({"Address":"10.0.0.9:80","born":5,"Info":{"Service":"s","Zone":"z",
          "Slots":9},"Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"}})";
  const bool holds = rc::check([&record] {
    std::string text = record;
    const std::vector<std::string> odd_parts = {
        "1e999", "-1", "99999999999999999999", "null", "[[[[",
        "{",     "\"", std::string(1, '\0')};
    for (int change = *rc::gen::inRange(1, 4); change > 0; --change) {
      const std::size_t place = *rc::gen::inRange<std::size_t>(0, text.size());
      const std::size_t length = *rc::gen::inRange<std::size_t>(0, 8);
      text.replace(place, std::min(length, text.size() - place),
                   *rc::gen::elementOf(odd_parts));
    }
    ValidationErrorList errors("servers/i-1");
    const std::optional<MeshTarget> target =
        platform::DecodeTarget("i-1", text, errors);
    RC_ASSERT(target.has_value() == errors.empty());
    if (target) {
      RC_ASSERT(target->slots >= 1);
      RC_ASSERT(target->address.port > 0);
      RC_ASSERT(target->born >= 0);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(statements_of_a_target_are_read) {
  HttpResponse response;
  BOOST_TEST(!platform::ReadTargetNotice(response)->max_rate.has_value());
  BOOST_TEST(!platform::ReadTargetNotice(response)->is_leaving);
  response.set("Server-Limit", "25.8");
  response.set("Server-Leaving", "1");
  BOOST_TEST(platform::ReadTargetNotice(response)->max_rate.value_or(0) ==
             25.8);
  BOOST_TEST(platform::ReadTargetNotice(response)->is_leaving);
  response.set("Server-Limit", "0");
  BOOST_TEST(platform::ReadTargetNotice(response)->max_rate.value_or(1) == 0);
  for (const char* text :
       {"", "-1", "nan", "inf", "1e400", "5x", "0x10", " "}) {
    response.set("Server-Limit", text);
    BOOST_TEST(!platform::ReadTargetNotice(response).has_value());
  }
  response.set("Server-Limit", "5");
  response.insert("Server-Limit", "5");
  BOOST_TEST(platform::ReadTargetNotice(response)->max_rate.value_or(0) == 5);
  response.insert("Server-Limit", "6");
  BOOST_TEST(!platform::ReadTargetNotice(response).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
