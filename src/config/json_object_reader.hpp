// Reads the values of one JSON object of the configuration and checks their types and ranges.
#ifndef TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_
#define TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/config/choice.hpp"
#include "src/config/config_error.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// The typed getters throw ConfigError with the value's path if its type or range is wrong. The reader keeps a
// reference to the JSON object, which must outlive it.
class JsonObjectReader {
 public:
  // `path` locates the object in the document. Throws ConfigError if `json` is not an object.
  JsonObjectReader(const nlohmann::json& json, std::string path);

  // Returns the path of the value under a key.
  std::string PathOf(const std::string& key) const;
  // Returns the unchecked value under a key, or null if the key is missing. Marks the key as read.
  const nlohmann::json* Find(const std::string& key);

  // These return the default, without checking it, if the key is missing.
  std::string GetString(const std::string& key, const std::string& default_value);
  double GetNumber(const std::string& key, double default_value, double min, double max);
  std::size_t GetCount(const std::string& key, std::size_t default_value, std::size_t min, std::size_t max);
  // Converts milliseconds in the document to microseconds.
  Micros GetDuration(const std::string& key, Micros default_value, double min_ms, double max_ms);

  // Throws ConfigError if the key is missing.
  std::string GetRequiredString(const std::string& key);
  // Returns the value of the choice that the string under the key names; nothing if the key is missing.
  template <typename T>
  std::optional<T> GetChoice(const std::string& key, std::initializer_list<Choice<T>> choices);

  // Returns the strings of an array; empty if the key is missing.
  std::vector<std::string> GetStrings(const std::string& key);
  // Calls `visit` with each item of an array and the item's path. Does nothing if the key is missing.
  void ForEach(const std::string& key,
               const std::function<void(const nlohmann::json& item, const std::string& path)>& visit);
  // Returns a reader of the object under a key; it is empty if the key is missing.
  JsonObjectReader GetObject(const std::string& key);

  // Throws ConfigError if the object has a key that was not read, since its author expects an effect.
  void RejectUnknownKeys() const;
  // Throws ConfigError with the given fault and the path of the value under a key.
  [[noreturn]] void Fail(const std::string& key, ConfigFault fault) const;

 private:
  // Returns the index in `names` of the string under the key; nothing if the key is missing.
  std::optional<std::size_t> GetChoiceIndex(const std::string& key, std::vector<std::string> names);

  const nlohmann::json& json_;
  std::string path_;
  std::set<std::string> read_keys_;
};

template <typename T>
std::optional<T> JsonObjectReader::GetChoice(const std::string& key,
                                             std::initializer_list<Choice<T>> choices) {
  std::vector<std::string> names;
  for (const Choice<T>& choice : choices) names.emplace_back(choice.name);
  const std::optional<std::size_t> index = GetChoiceIndex(key, std::move(names));
  if (!index) return std::nullopt;
  return choices.begin()[*index].value;
}

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_
