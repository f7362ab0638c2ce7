// Typed and checked access to the values of one JSON object of the configuration.
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

// Every function that reads a value throws ConfigError with the value's path if it is not as expected. The
// reader refers to the JSON value, which must outlive it.
class JsonObjectReader {
 public:
  // `path` is that of the object in the document. Throws ConfigError if the value is not an object.
  JsonObjectReader(const nlohmann::json& json, std::string path);

  // The path of the value under a key.
  std::string PathOf(const std::string& key) const;
  // The value under a key, unchecked; null if there is none.
  const nlohmann::json* Find(const std::string& key);

  // Values with a default, which is returned as it is where the key is missing.
  std::string GetString(const std::string& key, const std::string& default_value);
  double GetNumber(const std::string& key, double default_value, double min, double max);
  std::size_t GetCount(const std::string& key, std::size_t default_value, std::size_t min, std::size_t max);
  // Milliseconds in the document, microseconds here.
  Micros GetDuration(const std::string& key, Micros default_value, double min_ms, double max_ms);

  // A text that must be there.
  std::string GetRequiredString(const std::string& key);
  // The value that the text under the key stands for; none if the key is missing.
  template <typename T>
  std::optional<T> GetChoice(const std::string& key, std::initializer_list<Choice<T>> choices);

  // The texts of a list; empty if the key is missing.
  std::vector<std::string> GetStrings(const std::string& key);
  // Calls `use` for each item of a list with the item's path; not at all if the key is missing.
  void ForEach(const std::string& key,
               const std::function<void(const nlohmann::json& item, const std::string& path)>& use);
  // The object under a key; an empty one if the key is missing.
  JsonObjectReader GetObject(const std::string& key);

  // Throws ConfigError if the object has a key that was not read: its author believes that it has an effect.
  void RejectUnknownKeys() const;
  // Throws ConfigError with the path of the value under a key.
  [[noreturn]] void Fail(const std::string& key, ConfigFault fault) const;

 private:
  // The index of the text under the key among the names; none if the key is missing.
  std::optional<std::size_t> GetIndexOf(const std::string& key, std::vector<std::string> names);

  const nlohmann::json& json_;
  std::string path_;
  std::set<std::string> read_keys_;
};

template <typename T>
std::optional<T> JsonObjectReader::GetChoice(const std::string& key,
                                             std::initializer_list<Choice<T>> choices) {
  std::vector<std::string> names;
  for (const Choice<T>& choice : choices) names.emplace_back(choice.name);
  const std::optional<std::size_t> index = GetIndexOf(key, std::move(names));
  if (!index) return std::nullopt;
  return choices.begin()[*index].value;
}

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_
