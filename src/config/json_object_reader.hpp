// Reads settings out of JSON and says where what is wrong stands: `membership.sources[1].look_ms: must be
// ...`.
#ifndef TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_
#define TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_

#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/config/config_error.hpp"

namespace tulipyoke {

// One object of the configuration. Every key must be asked for; Done refuses the others, since a key that is
// passed over is a setting that its author believes in.
class JsonObjectReader {
 public:
  JsonObjectReader(const nlohmann::json& json, std::string path);

  const std::string& path() const { return path_; }
  std::string At(const std::string& key) const;
  bool Has(const std::string& key);
  std::string Text(const std::string& key, const std::string& missing);
  std::string Text(const std::string& key);  // must be there
  double Number(const std::string& key, double missing, double least, double most);
  // Whole milliseconds in the file, microseconds here.
  std::int64_t Millis(const std::string& key, std::int64_t missing_us, double least_ms, double most_ms);
  std::size_t Count(const std::string& key, std::size_t missing, std::size_t least, std::size_t most);
  bool Flag(const std::string& key, bool missing);
  // One of the words that `names` knows, by its place there.
  std::size_t Choice(const std::string& key, const std::vector<std::string>& names, std::size_t missing);
  std::vector<std::string> Texts(const std::string& key);
  // For each item of a list, with its path; an absent list has none.
  void Each(const std::string& key,
            const std::function<void(const nlohmann::json&, const std::string&)>& use);
  JsonObjectReader Object(const std::string& key);  // an absent one is empty
  const nlohmann::json* Raw(const std::string& key);
  void Done() const;
  [[noreturn]] void Fail(const std::string& key, const std::string& reason) const;

 private:
  const nlohmann::json* Find(const std::string& key);

  const nlohmann::json& json_;
  std::string path_;
  std::set<std::string> asked_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_JSON_OBJECT_READER_HPP_
