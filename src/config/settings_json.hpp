// Converts settings in JSON to the settings table: the keys of nested objects are joined to paths.
#ifndef TULIPYOKE_SRC_CONFIG_SETTINGS_JSON_HPP_
#define TULIPYOKE_SRC_CONFIG_SETTINGS_JSON_HPP_

#include <nlohmann/json_fwd.hpp>

#include "src/config/settings.hpp"

namespace tulipyoke {

SettingsTable TableFromJson(const nlohmann::json& json);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_SETTINGS_JSON_HPP_
