#include "src/dispatch/outcome.hpp"

#include <array>
#include <charconv>
#include <cmath>

namespace tulipyoke {
namespace {

constexpr std::array<std::string_view, kStatusCount> kStatusNames = {
    "ok", "miss", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};

std::optional<LoadReportField> ParseField(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  const std::string_view number = text.substr(equals + 1);
  const char* const number_end = number.data() + number.size();
  double value = 0;
  const auto [parsed_end, error] = std::from_chars(number.data(), number_end, value);
  const bool complete = error == std::errc() && parsed_end == number_end;
  if (!complete || !std::isfinite(value)) return std::nullopt;
  return LoadReportField{std::string(text.substr(0, equals)), value};
}

}  // namespace

std::string_view StatusName(Status status) { return kStatusNames[IndexOf(status)]; }

bool IsCertainlyNotExecuted(Status status) {
  return status == Status::kStaleOrWrongRole || status == Status::kOverloaded ||
         status == Status::kConnectFailed || status == Status::kNotSent;
}

LoadReport ParseLoadReport(const std::string& text) {
  LoadReport report;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    std::optional<LoadReportField> field = ParseField(rest.substr(0, comma));
    if (!field) return {};
    report.push_back(std::move(*field));
    rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
  }
  return report;
}

}  // namespace tulipyoke
