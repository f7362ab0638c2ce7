#include "src/upstream/outgoing_message.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

#include "src/pg/message_types.hpp"
#include "src/pg/message_writer.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::string_view kUser = "api";
constexpr std::string_view kDatabase = "ledger";
constexpr std::string_view kProbeQuery = "SHOW pressure";
constexpr Micros kMicrosPerMillisecond = 1000;
constexpr std::string_view kStringTerminator("\0", 1);

}  // namespace

void OutgoingMessage::SetStartup() {
  header_.clear();
  pg::AppendStartup(header_, kUser, kDatabase);
  unsent_ = {asio::buffer(header_)};
}

void OutgoingMessage::SetStatement(std::shared_ptr<const RequestPayload> payload, Micros remaining) {
  payload_ = std::move(payload);
  timeout_ = std::to_string(std::max<Micros>(1, remaining / kMicrosPerMillisecond));
  SetQuery(*payload_);
}

void OutgoingMessage::SetProbe() {
  static const RequestPayload kProbe{std::string(kProbeQuery), kProbeQuery.size(), 0};
  payload_.reset();
  timeout_.clear();
  SetQuery(kProbe);
}

void OutgoingMessage::SetQuery(const RequestPayload& payload) {
  const std::string_view before_timeout = payload.BeforeTimeout();
  const std::string_view after_timeout = payload.AfterTimeout();
  header_.clear();
  pg::AppendHeader(header_, pg::frontend::kQuery,
                   before_timeout.size() + timeout_.size() + after_timeout.size() + kStringTerminator.size());
  unsent_ = {asio::buffer(header_), asio::buffer(before_timeout), asio::buffer(timeout_),
             asio::buffer(after_timeout), asio::buffer(kStringTerminator)};
}

std::error_code OutgoingMessage::WriteTo(asio::ip::tcp::socket& socket) {
  std::error_code error;
  while (!sent() && !error) {
    std::size_t written = socket.write_some(unsent_, error);
    for (asio::const_buffer& part : unsent_) {
      const std::size_t consumed = std::min(written, part.size());
      part += consumed;
      written -= consumed;
    }
  }
  return error;
}

}  // namespace tulipyoke::net
