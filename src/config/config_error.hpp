// Errors in the configuration: the kind of fault, its location, and the message for operators.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace tulipyoke {

// The kinds of faults. Each holds the values that its message contains besides the path.
namespace config_fault {

// Faults of the document as a whole.
struct NotJson {};
struct InvalidStructure {
  std::string parser_message;  // message of the JSON library
};
struct NoRequestClass {};
struct TooFewSockets {
  int min = 0;
};
struct InvalidSeed {
  std::string raw_value;
};
struct InvalidServerList {
  std::string detail;
};

// Faults of single values.
struct MissingKey {};
struct UnknownKey {};
struct WrongType {
  std::string expected;  // including its article, such as "an array"
};
struct NumberOutOfRange {
  double min = 0;
  double max = 0;
};
struct CountOutOfRange {
  std::size_t min = 0;
  std::size_t max = 0;
};
struct UnknownChoice {
  std::string raw_value;
  std::vector<std::string> choices;
};
struct WrongLength {
  std::size_t max = 0;  // the minimum is 1
  std::string items;    // what the list contains, in the plural
};
struct InvalidHostPort {
  std::string raw_value;
};

// Faults in the sources of servers.
struct InvalidServiceName {};
struct InvalidDnsName {};
struct InvalidAddressBlock {
  std::string raw_value;
};
struct InvalidServerEntry {};
struct DuplicateSource {};
struct DuplicateRegistry {};

// Faults in the environment of the program.
struct NoConfigFile {};
struct UnreadableFile {};
struct InvalidDescriptor {
  std::string raw_value;
};

}  // namespace config_fault

using ConfigFault =
    std::variant<config_fault::NotJson, config_fault::InvalidStructure, config_fault::NoRequestClass,
                 config_fault::TooFewSockets, config_fault::InvalidSeed, config_fault::InvalidServerList,
                 config_fault::MissingKey, config_fault::UnknownKey, config_fault::WrongType,
                 config_fault::NumberOutOfRange, config_fault::CountOutOfRange, config_fault::UnknownChoice,
                 config_fault::WrongLength, config_fault::InvalidHostPort, config_fault::InvalidServiceName,
                 config_fault::InvalidDnsName, config_fault::InvalidAddressBlock,
                 config_fault::InvalidServerEntry, config_fault::DuplicateSource,
                 config_fault::DuplicateRegistry, config_fault::NoConfigFile, config_fault::UnreadableFile,
                 config_fault::InvalidDescriptor>;

// Returns the message for operators. `path` locates the value in the document, such as
// `membership.sources[1].look_ms`, or is the name of a file or an environment variable. It is empty for the
// document as a whole.
std::string ToText(const std::string& path, const ConfigFault& fault);

// Thrown when the configuration cannot be loaded or reloaded; what() is ToText(path, fault).
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string path, ConfigFault fault);

  const std::string& path() const { return path_; }
  const ConfigFault& fault() const { return fault_; }

 private:
  std::string path_;
  ConfigFault fault_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_
