#include "src/dispatch/outcome.hpp"

#include <charconv>
#include <cmath>
#include <string_view>

namespace tulipyoke {

std::vector<std::pair<std::string, double>> ParseLoadReport(const std::string& text) {
  std::vector<std::pair<std::string, double>> report;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string_view pair = rest.substr(0, comma);
    rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const std::string_view number = pair.substr(equals + 1);
    double value = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    const bool whole = error == std::errc() && end == number.data() + number.size();
    if (!whole || !std::isfinite(value)) return {};
    report.emplace_back(pair.substr(0, equals), value);
  }
  return report;
}

}  // namespace tulipyoke
