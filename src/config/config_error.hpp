// What can be wrong with a configuration: the fault, where it is in the document, and the text for operators.
#ifndef TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_
#define TULIPYOKE_SRC_CONFIG_CONFIG_ERROR_HPP_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace tulipyoke {

// The faults; each holds what its text needs beside the path.
namespace config_fault {

// The document as a whole.
struct NotJson {};
struct WrongForm {
  std::string parser_text;  // of the JSON library
};
struct NoRequestClass {};
struct TooFewSockets {
  int min = 0;
};
struct InvalidSeed {
  std::string given;
};
struct InvalidServerList {
  std::string text;
};

// Single values.
struct Missing {};
struct UnknownKey {};
struct WrongType {
  std::string expected;  // with its article, such as "a list"
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
  std::string given;
  std::vector<std::string> choices;
};
struct WrongLength {
  std::size_t max = 0;  // at least one is needed
  std::string items;    // what the list is of
};
struct InvalidHostPort {
  std::string given;
};

// Sources of servers.
struct InvalidServiceName {};
struct InvalidDnsName {};
struct InvalidAddressBlock {
  std::string given;
};
struct InvalidServer {};
struct DuplicateSource {};
struct SecondRegistry {};

// The environment of the program.
struct NoConfigFile {};
struct UnreadableFile {};
struct InvalidDescriptor {
  std::string given;
};

}  // namespace config_fault

using ConfigFault =
    std::variant<config_fault::NotJson, config_fault::WrongForm, config_fault::NoRequestClass,
                 config_fault::TooFewSockets, config_fault::InvalidSeed, config_fault::InvalidServerList,
                 config_fault::Missing, config_fault::UnknownKey, config_fault::WrongType,
                 config_fault::NumberOutOfRange, config_fault::CountOutOfRange, config_fault::UnknownChoice,
                 config_fault::WrongLength, config_fault::InvalidHostPort, config_fault::InvalidServiceName,
                 config_fault::InvalidDnsName, config_fault::InvalidAddressBlock, config_fault::InvalidServer,
                 config_fault::DuplicateSource, config_fault::SecondRegistry, config_fault::NoConfigFile,
                 config_fault::UnreadableFile, config_fault::InvalidDescriptor>;

// The text for operators. The path is that of the value in the document, such as
// `membership.sources[1].look_ms`, or the name of the file or the environment variable; empty for the
// document as a whole.
std::string ToText(const std::string& path, const ConfigFault& fault);

// Thrown while the program starts or reads its configuration again; what() is ToText of path and fault.
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
