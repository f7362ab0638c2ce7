#include "adapter/settings_parser.hpp"

#include <string>

#include "adapter/codec.hpp"
#include "src/config/settings.hpp"

namespace tulipyoke::wire {

Settings ParseSettings(std::string_view text) {
  SettingsTable table;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    const std::size_t equals = line.find('=');
    if (line.empty()) continue;
    if (equals == std::string_view::npos)
      throw FormatError("a settings line has no '=': " + std::string(line));
    table.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
  }
  try {
    return SettingsFromTable(table);
  } catch (const SettingsError& error) {
    throw FormatError(error.what());
  }
}

}  // namespace tulipyoke::wire
