// What is wrong with a configuration.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_

#include <stdexcept>
#include <string>

namespace tulipyoke {

// What is wrong with a configuration, in plain words behind the path of the place.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(const std::string& path, const std::string& reason)
      : std::runtime_error((path.empty() ? "the configuration" : path) + ": " + reason) {}
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_
