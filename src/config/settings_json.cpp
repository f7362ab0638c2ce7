#include "src/config/settings_json.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

std::string ScalarToText(const Json& json) {
  if (json.is_string()) return json.get<std::string>();
  return json.is_null() ? "" : json.dump();
}

std::string JoinItems(const Json& list) {
  std::string joined;
  for (const Json& item : list) joined += (joined.empty() ? "" : ",") + ScalarToText(item);
  return joined;
}

bool IsListOfObjects(const Json& json) {
  return json.is_array() && !json.empty() && json.front().is_object();
}

void Flatten(const std::string& path, const Json& json, SettingsTable& table) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (json.is_object()) {
    for (const auto& [name, value] : json.items()) Flatten(prefix + name, value, table);
  } else if (IsListOfObjects(json)) {
    table[prefix + "count"] = std::to_string(json.size());
    for (std::size_t i = 0; i < json.size(); ++i) Flatten(prefix + std::to_string(i), json[i], table);
  } else if (json.is_array()) {
    table[path] = JoinItems(json);
  } else {
    table[path] = ScalarToText(json);
  }
}

}  // namespace

SettingsTable TableFromJson(const Json& json) {
  SettingsTable table;
  Flatten("", json, table);
  return table;
}

}  // namespace tulipyoke
