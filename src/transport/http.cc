#include "transport/http.h"

#include <string>
#include <vector>

#include <boost/json.hpp>

namespace daisywinch {

namespace {

constexpr char kRetryAfterSeconds[] = "1";

}  // namespace

HttpResponse MakeProblem(const Refusal& refusal) {
  return MakeProblem(refusal, refusal.execution);
}

HttpResponse MakeProblem(const Refusal& refusal, Execution execution) {
  const std::string number =
      std::to_string(static_cast<std::uint32_t>(refusal.reason));
  HttpResponse response(static_cast<http::status>(refusal.status), 11);
  response.set(http::field::content_type, "application/problem+json");
  response.set(kOutcomeHeader, std::string(ToString(execution)));
  response.set(kReasonHeader, number);
  if (refusal.retryable) {
    response.set(http::field::retry_after, kRetryAfterSeconds);
  }
  response.body() = boost::json::serialize(
      boost::json::object{{"type", "about:blank"},
                          {"title", refusal.title},
                          {"status", refusal.status},
                          {"reason", number},
                          {"outcome", ToString(execution)}});
  response.prepare_payload();
  return response;
}

void RemoveHopByHopFields(http::fields& fields) {
  std::vector<std::string> named;
  const auto [begin, end] = fields.equal_range(http::field::connection);
  for (auto field = begin; field != end; ++field) {
    for (const boost::beast::string_view token :
         http::token_list(field->value())) {
      named.emplace_back(token);
    }
  }
  for (const std::string& name : named) {
    fields.erase(name);
  }
  for (const http::field field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::proxy_authorization, http::field::proxy_authenticate,
        http::field::expect, http::field::content_length}) {
    fields.erase(field);
  }
}

}  // namespace daisywinch
