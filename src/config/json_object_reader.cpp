#include "src/config/json_object_reader.hpp"

#include <cmath>

namespace tulipyoke {
namespace {

using Json = nlohmann::json;

std::string NumberText(double value) { return Json(value).dump(); }

const Json& Empty() {
  static const Json empty = Json::object();
  return empty;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const Json& json, std::string path) : json_(json), path_(std::move(path)) {
  if (!json.is_object()) throw ConfigError(path_, "must be an object");
}

std::string JsonObjectReader::At(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void JsonObjectReader::Fail(const std::string& key, const std::string& reason) const {
  throw ConfigError(At(key), reason);
}

const Json* JsonObjectReader::Find(const std::string& key) {
  asked_.insert(key);
  const auto it = json_.find(key);
  return it == json_.end() ? nullptr : &*it;
}

bool JsonObjectReader::Has(const std::string& key) { return Find(key) != nullptr; }

const Json* JsonObjectReader::Raw(const std::string& key) { return Find(key); }

std::string JsonObjectReader::Text(const std::string& key, const std::string& missing) {
  const Json* value = Find(key);
  if (!value) return missing;
  if (!value->is_string()) Fail(key, "must be a text");
  return value->get<std::string>();
}

std::string JsonObjectReader::Text(const std::string& key) {
  if (!Has(key)) Fail(key, "is missing");
  return Text(key, "");
}

double JsonObjectReader::Number(const std::string& key, double missing, double least, double most) {
  const Json* value = Find(key);
  if (!value) return missing;
  const double number = value->is_number() ? value->get<double>() : std::nan("");
  if (!(number >= least && number <= most)) {
    Fail(key, "must be a number from " + NumberText(least) + " to " + NumberText(most));
  }
  return number;
}

std::int64_t JsonObjectReader::Millis(const std::string& key, std::int64_t missing_us, double least_ms,
                                      double most_ms) {
  return std::llround(1e3 * Number(key, static_cast<double>(missing_us) / 1e3, least_ms, most_ms));
}

std::size_t JsonObjectReader::Count(const std::string& key, std::size_t missing, std::size_t least,
                                    std::size_t most) {
  const Json* value = Find(key);
  if (!value) return missing;
  const bool whole = value->is_number_unsigned();
  const std::size_t count = whole ? value->get<std::size_t>() : 0;
  if (!whole || count < least || count > most) {
    Fail(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  }
  return count;
}

bool JsonObjectReader::Flag(const std::string& key, bool missing) {
  const Json* value = Find(key);
  if (!value) return missing;
  if (!value->is_boolean()) Fail(key, "must be true or false");
  return value->get<bool>();
}

std::size_t JsonObjectReader::Choice(const std::string& key, const std::vector<std::string>& names,
                                     std::size_t missing) {
  if (!Has(key)) return missing;
  const std::string given = Text(key, "");
  std::string all;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (given == names[i]) return i;
    all += (i == 0 ? "" : ", ") + names[i];
  }
  Fail(key, "is '" + given + "', but must be one of " + all);
}

std::vector<std::string> JsonObjectReader::Texts(const std::string& key) {
  std::vector<std::string> texts;
  Each(key, [&](const Json& item, const std::string& path) {
    if (!item.is_string()) throw ConfigError(path, "must be a text");
    texts.push_back(item.get<std::string>());
  });
  return texts;
}

void JsonObjectReader::Each(const std::string& key,
                            const std::function<void(const Json&, const std::string&)>& use) {
  const Json* value = Find(key);
  if (!value) return;
  if (!value->is_array()) Fail(key, "must be a list");
  for (std::size_t i = 0; i < value->size(); ++i) use((*value)[i], At(key) + "[" + std::to_string(i) + "]");
}

JsonObjectReader JsonObjectReader::Object(const std::string& key) {
  const Json* value = Find(key);
  return JsonObjectReader(value ? *value : Empty(), At(key));
}

void JsonObjectReader::Done() const {
  for (const auto& [key, value] : json_.items()) {
    if (!asked_.contains(key)) Fail(key, "is no setting that is known here");
  }
}

}  // namespace tulipyoke
