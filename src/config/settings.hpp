// Reads the settings of the decision module from a table of paths and texts. Both the simulator's lines and
// the program's JSON are converted to this table.
#ifndef TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_
#define TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_

#include <map>
#include <stdexcept>
#include <string>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// Why the value of a setting is invalid.
enum class SettingsFault {
  kUnknownValue,   // not one of the texts that the setting accepts
  kInvalidNumber,  // not a number, or out of range
};

// Returns the message for operators, which names the path and the value.
std::string ToText(SettingsFault fault, const std::string& path, const std::string& value);

// Thrown for an invalid value of a setting; what() is ToText(fault, path, value).
class SettingsError : public std::runtime_error {
 public:
  SettingsError(SettingsFault fault, const std::string& path, const std::string& value)
      : std::runtime_error(ToText(fault, path, value)), fault_(fault), path_(path), value_(value) {}

  SettingsFault fault() const { return fault_; }
  const std::string& path() const { return path_; }
  const std::string& value() const { return value_; }

 private:
  SettingsFault fault_;
  std::string path_;
  std::string value_;
};

// Maps paths to values. A list of scalars is one value, joined by commas. The length of a list of objects is
// under `.count` and its items are under `.0`, `.1` and so on.
using SettingsTable = std::map<std::string, std::string>;

// Ignores unknown paths and uses the default for missing ones. Throws SettingsError.
Settings SettingsFromTable(const SettingsTable& table);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_
