// The settings of the decision module from a table of paths and texts, the common form of the simulator's
// lines and the program's JSON.
#ifndef TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_
#define TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_

#include <map>
#include <stdexcept>
#include <string>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// What is wrong with the value of a setting.
enum class SettingsFault {
  kUnknownValue,  // not one of the texts that the setting can have
  kNotANumber,    // no number, or one out of range
};

// The text for operators, which names the path and the value.
std::string ToText(SettingsFault fault, const std::string& path, const std::string& value);

// Thrown for a value that its path cannot have; what() is ToText.
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

// Values by path. A list of plain values is joined by commas; a list of objects has its length under `.count`
// and its items under `.0`, `.1` and so on.
using SettingsTable = std::map<std::string, std::string>;

// Unknown paths are ignored, missing ones have their defaults. Throws SettingsError.
Settings SettingsFromTable(const SettingsTable& table);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_
