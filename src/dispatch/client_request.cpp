#include "src/dispatch/client_request.hpp"

namespace tulipyoke {
namespace {

constexpr std::string_view kIdPrefix = "/* id=";
constexpr std::string_view kIdDelimiters = ", ";
constexpr std::string_view kNoId = "-";

}  // namespace

std::string_view ClientRequestId(const RequestPayload* payload) {
  if (!payload) return kNoId;
  const std::string_view bytes = payload->bytes;
  const std::size_t prefix = bytes.rfind(kIdPrefix);
  if (prefix == std::string_view::npos) return kNoId;
  const std::size_t begin = prefix + kIdPrefix.size();
  return bytes.substr(begin, bytes.find_first_of(kIdDelimiters, begin) - begin);
}

}  // namespace tulipyoke
