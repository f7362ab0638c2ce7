#include "src/config/config_error.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace tulipyoke {
namespace {

// As JSON writes it, so that the text shows a number as one would enter it.
std::string NumberText(double number) { return nlohmann::json(number).dump(); }

std::string Join(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items) joined += (joined.empty() ? "" : ", ") + item;
  return joined;
}

class TextMaker {
 public:
  explicit TextMaker(const std::string& path) : path_(path) {}

  std::string operator()(const config_fault::NotJson&) const { return "the configuration is not JSON"; }
  std::string operator()(const config_fault::WrongForm& fault) const {
    return "the configuration lacks something or has it in the wrong form: " + fault.parser_text;
  }
  std::string operator()(const config_fault::NoRequestClass&) const {
    return path_ + " name no class of requests";
  }
  std::string operator()(const config_fault::TooFewSockets& fault) const {
    return path_ + " is under " + std::to_string(fault.min);
  }
  std::string operator()(const config_fault::InvalidSeed& fault) const {
    return path_ + " is no hexadecimal number: " + fault.given;
  }
  std::string operator()(const config_fault::InvalidServerList& fault) const { return fault.text; }

  std::string operator()(const config_fault::Missing&) const { return AtPath("is missing"); }
  std::string operator()(const config_fault::UnknownKey&) const {
    return AtPath("is no setting that is known here");
  }
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
    return AtPath("is '" + fault.given + "', but must be one of " + Join(fault.choices));
  }
  std::string operator()(const config_fault::WrongLength& fault) const {
    return AtPath("must name 1 to " + std::to_string(fault.max) + " " + fault.items);
  }
  std::string operator()(const config_fault::InvalidHostPort& fault) const {
    const std::string text = "not an address and port: '" + fault.given + "'";
    return path_.empty() ? text : AtPath(text);
  }

  std::string operator()(const config_fault::InvalidServiceName&) const {
    return AtPath("is no service such as _readings._tcp");
  }
  std::string operator()(const config_fault::InvalidDnsName&) const { return AtPath("is no DNS name"); }
  std::string operator()(const config_fault::InvalidAddressBlock& fault) const {
    return AtPath("no block of addresses such as 10.0.0.0/8: '" + fault.given + "'");
  }
  std::string operator()(const config_fault::InvalidServer&) const {
    return AtPath("holds an entry that is none");
  }
  std::string operator()(const config_fault::DuplicateSource&) const {
    return AtPath("names a source that is there already");
  }
  std::string operator()(const config_fault::SecondRegistry&) const { return AtPath("is a second registry"); }

  std::string operator()(const config_fault::NoConfigFile&) const {
    return path_ + " names no configuration file";
  }
  std::string operator()(const config_fault::UnreadableFile&) const { return "cannot read " + path_; }
  std::string operator()(const config_fault::InvalidDescriptor& fault) const {
    return path_ + " is no descriptor: " + fault.given;
  }

 private:
  std::string AtPath(const std::string& text) const {
    return (path_.empty() ? "the configuration" : path_) + ": " + text;
  }

  const std::string& path_;
};

}  // namespace

std::string ToText(const std::string& path, const ConfigFault& fault) {
  return std::visit(TextMaker(path), fault);
}

ConfigError::ConfigError(std::string path, ConfigFault fault)
    : std::runtime_error(ToText(path, fault)), path_(std::move(path)), fault_(std::move(fault)) {}

}  // namespace tulipyoke
