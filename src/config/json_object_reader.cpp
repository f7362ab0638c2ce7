#include "src/config/json_object_reader.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

constexpr double kMicrosPerMillisecond = 1e3;

const Json& EmptyObject() {
  static const Json empty = Json::object();
  return empty;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const Json& json, std::string path) : json_(json), path_(std::move(path)) {
  if (!json.is_object()) throw ConfigError(path_, config_fault::WrongType{"an object"});
}

std::string JsonObjectReader::PathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void JsonObjectReader::Fail(const std::string& key, ConfigFault fault) const {
  throw ConfigError(PathOf(key), std::move(fault));
}

const Json* JsonObjectReader::Find(const std::string& key) {
  read_keys_.insert(key);
  const auto it = json_.find(key);
  return it == json_.end() ? nullptr : &*it;
}

std::string JsonObjectReader::GetString(const std::string& key, const std::string& default_value) {
  const Json* value = Find(key);
  if (!value) return default_value;
  if (!value->is_string()) Fail(key, config_fault::WrongType{"a string"});
  return value->get<std::string>();
}

std::string JsonObjectReader::GetRequiredString(const std::string& key) {
  if (!Find(key)) Fail(key, config_fault::MissingKey{});
  return GetString(key, "");
}

double JsonObjectReader::GetNumber(const std::string& key, double default_value, double min, double max) {
  const Json* value = Find(key);
  if (!value) return default_value;
  const double number = value->is_number() ? value->get<double>() : std::nan("");
  const bool in_range = number >= min && number <= max;  // false for NaN
  if (!in_range) Fail(key, config_fault::NumberOutOfRange{min, max});
  return number;
}

Micros JsonObjectReader::GetDuration(const std::string& key, Micros default_value, double min_ms,
                                     double max_ms) {
  const double default_ms = static_cast<double>(default_value) / kMicrosPerMillisecond;
  return std::llround(kMicrosPerMillisecond * GetNumber(key, default_ms, min_ms, max_ms));
}

std::size_t JsonObjectReader::GetCount(const std::string& key, std::size_t default_value, std::size_t min,
                                       std::size_t max) {
  const Json* value = Find(key);
  if (!value) return default_value;
  const bool unsigned_integer = value->is_number_unsigned();
  const std::size_t count = unsigned_integer ? value->get<std::size_t>() : 0;
  if (!unsigned_integer || count < min || count > max) Fail(key, config_fault::CountOutOfRange{min, max});
  return count;
}

std::optional<std::size_t> JsonObjectReader::GetChoiceIndex(const std::string& key,
                                                            std::vector<std::string> names) {
  if (!Find(key)) return std::nullopt;
  const std::string raw_value = GetString(key, "");
  const auto it = std::find(names.begin(), names.end(), raw_value);
  if (it == names.end()) Fail(key, config_fault::UnknownChoice{raw_value, std::move(names)});
  return static_cast<std::size_t>(it - names.begin());
}

std::vector<std::string> JsonObjectReader::GetStrings(const std::string& key) {
  std::vector<std::string> strings;
  ForEach(key, [&](const Json& item, const std::string& path) {
    if (!item.is_string()) throw ConfigError(path, config_fault::WrongType{"a string"});
    strings.push_back(item.get<std::string>());
  });
  return strings;
}

void JsonObjectReader::ForEach(const std::string& key,
                               const std::function<void(const Json&, const std::string&)>& visit) {
  const Json* value = Find(key);
  if (!value) return;
  if (!value->is_array()) Fail(key, config_fault::WrongType{"an array"});
  for (std::size_t i = 0; i < value->size(); ++i) {
    visit((*value)[i], PathOf(key) + "[" + std::to_string(i) + "]");
  }
}

JsonObjectReader JsonObjectReader::GetObject(const std::string& key) {
  const Json* value = Find(key);
  return JsonObjectReader(value ? *value : EmptyObject(), PathOf(key));
}

void JsonObjectReader::RejectUnknownKeys() const {
  for (const auto& [key, value] : json_.items()) {
    if (!read_keys_.contains(key)) Fail(key, config_fault::UnknownKey{});
  }
}

}  // namespace tulipyoke
