#include "src/discovery/registry_watch.hpp"

#include <array>
#include <chrono>
#include <exception>
#include <string_view>
#include <utility>
#include <vector>

#include "src/config/listing_json.hpp"
#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"

namespace tulipyoke::discovery {
namespace {

using Kind = WatchFailure::Kind;

constexpr std::size_t kReadBufferBytes = 16384;

std::string RequestFor(const std::string& address, std::uint64_t version) {
  return "GET /registry/instances?follow=1&since=" + std::to_string(version) +
         " HTTP/1.1\r\nHost: " + address + "\r\nAccept: application/json\r\n\r\n";
}

}  // namespace

struct RegistryWatch::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}

  asio::ip::tcp::socket socket;
  WatchResponseParser parser;
  std::string request;
  bool update_missed = false;  // a value was invalid and no complete listing has arrived since
  std::array<char, kReadBufferBytes> buffer{};
};

RegistryWatch::RegistryWatch(asio::io_context& io, OnUpdate on_update, const std::string& address,
                             std::uint64_t version, const ReconnectBackoff& backoff)
    : io_(io),
      on_update_(std::move(on_update)),
      endpoint_(address.empty() ? asio::ip::tcp::endpoint() : net::ParseEndpoint(address)),
      address_(address),
      version_(version),
      liveness_timer_(io),
      retry_timer_(io),
      backoff_(backoff),
      stopped_(address.empty()) {
  if (!stopped_) Connect();
}

void RegistryWatch::Refresh() {
  version_ = 0;
  if (current_) Disconnect(current_, {Kind::kRefreshRequested, {}});
}

void RegistryWatch::Redirect(const std::string& address) {
  if (address_.empty()) return;
  endpoint_ = net::ParseEndpoint(address);
  address_ = address;
  version_ = 0;
  backoff_.Reset();
  retry_timer_.Cancel();
  // After two consecutive redirections without an update in between, the oldest connection is kept.
  if (previous_)
    Close(current_);
  else
    previous_ = current_;
  Connect();
}

void RegistryWatch::Stop() {
  stopped_ = true;
  liveness_timer_.Cancel();
  retry_timer_.Cancel();
  Close(current_);
  Close(previous_);
}

void RegistryWatch::Connect() {
  ++counters_.connects;
  const auto connection = std::make_shared<Connection>(io_);
  current_ = connection;
  liveness_timer_.ExpireAfter(std::chrono::microseconds(backoff_.response_timeout()), [this, connection] {
    Disconnect(connection, {Kind::kResponseTimeout, {}});
  });
  connection->socket.async_connect(endpoint_, [this, connection](std::error_code error) {
    if (connection != current_) return;
    if (error) return Disconnect(connection, {Kind::kTransport, error});
    SendRequest(connection);
    Read(connection);
  });
}

void RegistryWatch::SendRequest(const ConnectionPtr& connection) {
  connection->request = RequestFor(address_, version_);
  asio::async_write(connection->socket, asio::buffer(connection->request),
                    [this, connection](std::error_code error, std::size_t) {
                      if (!error || connection != current_) return;
                      Disconnect(connection, {Kind::kTransport, error});
                    });
}

void RegistryWatch::Read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(asio::buffer(connection->buffer),
                                     [this, connection](std::error_code error, std::size_t size) {
                                       if (!IsOpen(connection)) return;
                                       if (error) return Disconnect(connection, {Kind::kTransport, error});
                                       OnBytesReceived(connection, size);
                                     });
}

void RegistryWatch::OnBytesReceived(const ConnectionPtr& connection, std::size_t size) {
  const bool had_opened = connection->parser.watch_opened();
  std::vector<std::string> values;
  const bool response_open =
      connection->parser.Feed(std::string_view(connection->buffer.data(), size), values);
  if (!had_opened && connection->parser.watch_opened()) RestartHeartbeatTimer(connection);
  for (const std::string& value : values) OnValue(connection, value);
  // The complete listing includes the change that the invalid value should have announced, such as the drain
  // of a server.
  if (connection->update_missed && connection == current_) {
    version_ = 0;
    return Disconnect(connection, {Kind::kInvalidValue, {}});
  }
  if (!response_open) return Disconnect(connection, {Kind::kResponseEndedOrInvalid, {}});
  Read(connection);
}

void RegistryWatch::OnValue(const ConnectionPtr& connection, const std::string& value) {
  try {
    if (value.empty())
      OnHeartbeat(connection);
    else
      OnListing(connection, ParseListingOrThrow(value));
  } catch (const std::exception& error) {
    OnInvalidValue(connection, error.what());
  }
}

void RegistryWatch::OnHeartbeat(const ConnectionPtr& connection) {
  if (connection == current_) backoff_.Reset();
  RestartHeartbeatTimer(connection);
}

void RegistryWatch::OnListing(const ConnectionPtr& connection, const EndpointList& listing) {
  if (connection == current_) {
    backoff_.Reset();
    RestartHeartbeatTimer(connection);
    // The versions of two addresses are not comparable, so a version from the previous address must not be
    // sent to the current one.
    version_ = listing.version;
    Close(previous_);
  }
  connection->update_missed = connection->update_missed && !listing.complete;
  on_update_(listing);
}

// An invalid value does not restart the heartbeat timer, so a watch that delivers nothing else times out.
void RegistryWatch::OnInvalidValue(const ConnectionPtr& connection, const std::string& reason) {
  connection->update_missed = true;
  ++counters_.invalid_values;
  if (counters_.invalid_values > 1) return;
  LogWarning("discovery_bad_line", "the registry sent an invalid value: " + reason, {{"why", reason}});
}

void RegistryWatch::Disconnect(const ConnectionPtr& connection, const WatchFailure& failure) {
  if (stopped_) return;
  if (connection == previous_) return Close(previous_);
  if (connection != current_) return;
  Close(current_);
  liveness_timer_.Cancel();
  ++counters_.disconnects;
  // Logged once for each outage. Further failed attempts are only counted.
  if (backoff_.failures() == 0) {
    const std::string reason = ToText(failure);
    LogWarning("discovery_lost", "registry watch lost: " + reason, {{"why", reason}});
  }
  retry_timer_.ExpireAfter(std::chrono::microseconds(backoff_.NextDelay()), [this] { Connect(); });
}

void RegistryWatch::RestartHeartbeatTimer(const ConnectionPtr& connection) {
  // The previous connection has no timeout. It is closed on the first update of the new one or ends on its
  // own.
  if (connection != current_) return;
  liveness_timer_.ExpireAfter(std::chrono::microseconds(ReconnectBackoff::kHeartbeatTimeout),
                              [this, connection] {
                                Disconnect(connection, {Kind::kHeartbeatTimeout, {}});
                              });
}

void RegistryWatch::Close(ConnectionPtr& connection) {
  std::error_code ignored;
  if (connection) connection->socket.close(ignored);
  connection.reset();
}

}  // namespace tulipyoke::discovery
