#include "src/dnssd/instance.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <stdexcept>
#include <string_view>
#include <tuple>

namespace tulipyoke::dnssd {
namespace {

constexpr double kLargestSize = 1e6;
constexpr int kLargestGroup = 65535;
constexpr std::size_t kLongestWord = 63;

template <typename T>
bool Number(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Ids, sites and the like: printable, no spaces, since they go into log lines and lists.
bool IsWord(std::string_view text) {
  return text.size() <= kLongestWord &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

std::optional<std::vector<std::uint8_t>> AddressBytes(const std::string& text) {
  std::vector<std::uint8_t> bytes(4);
  if (inet_pton(AF_INET, text.c_str(), bytes.data()) == 1) return bytes;
  bytes.resize(16);
  if (inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1) return bytes;
  return std::nullopt;
}

// Empty: it is as it must be.
std::string Set(const std::string& key, std::string_view value, Attributes& a) {
  if (key == "txtvers") {
    int version = 0;
    return Number(value, version) && version == kTextVersion ? "" : "is a version that is not known";
  }
  if (key == "group") {
    return Number(value, a.group) && a.group >= 0 && a.group <= kLargestGroup ? ""
                                                                              : "is no number up to 65535";
  }
  if (key == "size") {
    return Number(value, a.size) && a.size > 0 && a.size <= kLargestSize ? "" : "is no number over 0";
  }
  if (key == "started") {
    return Number(value, a.started_unix_ms) && a.started_unix_ms >= 0 ? ""
                                                                      : "is no Unix time in milliseconds";
  }
  if (key == "state") {
    a.draining = value == "terminating";
    return a.draining || value == "in_service" ? "" : "is neither in_service nor terminating";
  }
  if (key == "role") {
    a.primary = value == "primary";
    return a.primary || value == "replica" ? "" : "is neither primary nor replica";
  }
  std::string* word = key == "id"        ? &a.id
                      : key == "site"    ? &a.site
                      : key == "kind"    ? &a.kind
                      : key == "version" ? &a.version
                                         : nullptr;
  if (!word) return "";
  *word = value;
  return IsWord(value) ? "" : "is no plain word of up to 63 letters";
}

}  // namespace

std::optional<TextFault> ReadAttributes(const TextData& text, Attributes& attributes) {
  std::size_t size = 0;
  for (const std::string& string : text.strings) size += string.size() + 1;
  if (size > kLongestText)
    return TextFault{"TXT", "is longer than " + std::to_string(kLongestText) + " bytes"};
  std::set<std::string> seen;
  for (const std::string& string : text.strings) {
    const std::size_t equals = string.find('=');
    if (equals == std::string::npos || equals == 0) continue;
    const std::string key = LowerCase(std::string_view(string).substr(0, equals));
    if (!seen.insert(key).second) continue;
    const std::string reason = Set(key, std::string_view(string).substr(equals + 1), attributes);
    if (!reason.empty()) return TextFault{key, reason};
  }
  return std::nullopt;
}

std::optional<ServiceData> ChooseService(const std::vector<ServiceData>& services) {
  const auto order = [](const ServiceData& s) {
    return std::make_tuple(s.priority, -static_cast<int>(s.weight), s.target, s.port);
  };
  const auto best = std::min_element(services.begin(), services.end(),
                                     [&](const auto& a, const auto& b) { return order(a) < order(b); });
  if (best == services.end()) return std::nullopt;
  return *best;
}

ListedServer ToListed(const Name& instance, const Attributes& attributes, const std::string& zone_site,
                      const std::string& address, std::uint16_t port) {
  ListedServer listed;
  listed.id = attributes.id.empty() ? instance : attributes.id;
  listed.address = address + ":" + std::to_string(port);
  listed.zone = attributes.site.empty() ? zone_site : attributes.site;
  listed.kind = attributes.kind;
  listed.group = attributes.group;
  listed.state = attributes.draining ? ServerState::kDraining : ServerState::kReady;
  listed.capacity_hint = attributes.size;
  listed.started_unix_ms = attributes.started_unix_ms;
  listed.leads = attributes.primary;
  return listed;
}

AddressBlock::AddressBlock(const std::string& text) {
  const std::size_t slash = text.find('/');
  std::optional<std::vector<std::uint8_t>> bytes;
  if (slash != std::string::npos) bytes = AddressBytes(text.substr(0, slash));
  const bool numbered = bytes && Number(std::string_view(text).substr(slash + 1), bits_);
  if (!numbered || bits_ < 0 || bits_ > static_cast<int>(8 * bytes->size())) {
    throw std::invalid_argument("no block of addresses such as 10.0.0.0/8: '" + text + "'");
  }
  bytes_ = *bytes;
}

bool AddressBlock::Holds(const std::string& address) const {
  const auto bytes = AddressBytes(address);
  if (!bytes || bytes->size() != bytes_.size()) return false;
  for (int bit = 0; bit < bits_; ++bit) {
    const auto at = static_cast<std::size_t>(bit / 8);
    if ((((*bytes)[at] ^ bytes_[at]) >> (7 - bit % 8) & 1) != 0) return false;
  }
  return true;
}

bool IsUnicast(const std::string& address) {
  const auto bytes = AddressBytes(address);
  if (!bytes) return false;
  const bool unspecified = std::all_of(bytes->begin(), bytes->end(), [](std::uint8_t b) { return b == 0; });
  const std::uint8_t first = bytes->front();
  return !unspecified && (bytes->size() == 4 ? first != 0 && first < 224 : first != 255);
}

}  // namespace tulipyoke::dnssd
