#include "adapter/settings_parser.hpp"

#include <cstddef>
#include <string>

#include "src/config/settings.hpp"

namespace tulipyoke::wire {
namespace {

// Removes the first line from `text` and returns it without its newline.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return line;
}

}  // namespace

Decoded<Settings> ParseSettings(std::string_view text) {
  SettingsTable table;
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    if (line.empty()) continue;
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      return FormatError{FormatErrorCode::kSettingsLineInvalid, 0, std::string(line)};
    }
    table.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
  }
  try {
    return SettingsFromTable(table);
  } catch (const SettingsError& error) {
    return FormatError{FormatErrorCode::kSettingsInvalid, 0, error.what()};
  }
}

}  // namespace tulipyoke::wire
