// The one table of paths to settings: the simulator's lines and the program's JSON both end up here.
#ifndef TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_
#define TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_

#include <map>
#include <stdexcept>
#include <string>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// What is wrong with a setting, in plain words.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Values by path. A list of plain values is joined by commas; a list of objects gives its length under
// .count and its items under .0, .1 and so on.
using SettingsTable = std::map<std::string, std::string>;

// Unknown paths are skipped; a value that its path cannot have throws SettingsError.
Settings SettingsFromTable(const SettingsTable& table);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_SETTINGS_HPP_
