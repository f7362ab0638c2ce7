#include "src/config/config_error.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace tulipyoke {
namespace {

// Formats a number as JSON does, so that the text shows it as it would be entered in the configuration.
std::string NumberText(double number) { return nlohmann::json(number).dump(); }

std::string Join(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items) joined += (joined.empty() ? "" : ", ") + item;
  return joined;
}

class FaultFormatter {
 public:
  explicit FaultFormatter(const std::string& path) : path_(path) {}

  std::string operator()(const config_fault::NotJson&) const { return "the configuration is not valid JSON"; }
  std::string operator()(const config_fault::InvalidStructure& fault) const {
    return "the configuration has a missing or invalid value: " + fault.parser_message;
  }
  std::string operator()(const config_fault::NoRequestClass&) const {
    return path_ + " must define at least one request class";
  }
  std::string operator()(const config_fault::TooFewSockets& fault) const {
    return path_ + " must be at least " + std::to_string(fault.min);
  }
  std::string operator()(const config_fault::InvalidSeed& fault) const {
    return path_ + " is not a 64-bit hexadecimal number: " + fault.raw_value;
  }
  std::string operator()(const config_fault::InvalidServerList& fault) const { return fault.detail; }

  std::string operator()(const config_fault::MissingKey&) const { return AtPath("is missing"); }
  std::string operator()(const config_fault::UnknownKey&) const { return AtPath("is not a known setting"); }
  std::string operator()(const config_fault::WrongType& fault) const {
    return AtPath("must be " + fault.expected);
  }
  std::string operator()(const config_fault::NumberOutOfRange& fault) const {
    return AtPath("must be a number from " + NumberText(fault.min) + " to " + NumberText(fault.max));
  }
  std::string operator()(const config_fault::CountOutOfRange& fault) const {
    return AtPath("must be a whole number from " + std::to_string(fault.min) + " to " +
                  std::to_string(fault.max));
  }
  std::string operator()(const config_fault::UnknownChoice& fault) const {
    return AtPath("is '" + fault.raw_value + "', but must be one of " + Join(fault.choices));
  }
  std::string operator()(const config_fault::WrongLength& fault) const {
    return AtPath("must contain 1 to " + std::to_string(fault.max) + " " + fault.items);
  }
  std::string operator()(const config_fault::InvalidHostPort& fault) const {
    const std::string text = "not a valid address with port: '" + fault.raw_value + "'";
    return path_.empty() ? text : AtPath(text);
  }

  std::string operator()(const config_fault::InvalidServiceName&) const {
    return AtPath("is not a DNS-SD service type such as _readings._tcp");
  }
  std::string operator()(const config_fault::InvalidDnsName&) const {
    return AtPath("is not a valid DNS name");
  }
  std::string operator()(const config_fault::InvalidAddressBlock& fault) const {
    return AtPath("not an address block such as 10.0.0.0/8: '" + fault.raw_value + "'");
  }
  std::string operator()(const config_fault::InvalidServerEntry&) const {
    return AtPath("contains an invalid server entry");
  }
  std::string operator()(const config_fault::DuplicateSource&) const {
    return AtPath("duplicates the name of another source");
  }
  std::string operator()(const config_fault::DuplicateRegistry&) const {
    return AtPath("only one registry source is allowed");
  }

  std::string operator()(const config_fault::NoConfigFile&) const {
    return path_ + " is not set; it must name the configuration file";
  }
  std::string operator()(const config_fault::UnreadableFile&) const { return "cannot read " + path_; }
  std::string operator()(const config_fault::InvalidDescriptor& fault) const {
    return path_ + " is not a valid file descriptor: " + fault.raw_value;
  }

 private:
  std::string AtPath(const std::string& text) const {
    return (path_.empty() ? "the configuration" : path_) + ": " + text;
  }

  const std::string& path_;
};

}  // namespace

std::string ToText(const std::string& path, const ConfigFault& fault) {
  return std::visit(FaultFormatter(path), fault);
}

ConfigError::ConfigError(std::string path, ConfigFault fault)
    : std::runtime_error(ToText(path, fault)), path_(std::move(path)), fault_(std::move(fault)) {}

}  // namespace tulipyoke
