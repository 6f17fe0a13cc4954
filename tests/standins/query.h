#ifndef DAISYWINCH_TESTS_STANDINS_QUERY_H
#define DAISYWINCH_TESTS_STANDINS_QUERY_H

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

namespace daisywinch::test {

/// Returns the value of a query parameter of a request target.
inline std::optional<std::string> QueryText(std::string_view target,
                                            std::string_view name) {
  std::size_t start = target.find('?');
  while (start != std::string_view::npos) {
    const std::string_view remaining = target.substr(start + 1);
    const std::string_view parameter = remaining.substr(0, remaining.find('&'));
    const std::size_t equals = parameter.find('=');
    if (parameter.substr(0, equals) == name) {
      return std::string(equals == std::string_view::npos
                             ? std::string_view()
                             : parameter.substr(equals + 1));
    }
    const std::size_t next = remaining.find('&');
    start = next == std::string_view::npos ? next : start + 1 + next;
  }
  return std::nullopt;
}

/// Returns an integer query parameter, or the fallback if it is missing.
inline std::int64_t QueryNumber(std::string_view target,
                                std::string_view name,
                                std::int64_t fallback) {
  const std::optional<std::string> text = QueryText(target, name);
  return text ? std::strtoll(text->c_str(), nullptr, 10) : fallback;
}

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_QUERY_H
