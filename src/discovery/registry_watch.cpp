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

constexpr std::size_t kReadBytes = 16384;

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
  bool update_missed = false;  // a value was invalid, and no complete list has come since
  std::array<char, kReadBytes> buffer{};
};

RegistryWatch::RegistryWatch(asio::io_context& io, OnUpdate on_update, const std::string& address,
                             std::uint64_t version, const PollBackoff& backoff)
    : io_(io),
      on_update_(std::move(on_update)),
      endpoint_(address.empty() ? asio::ip::tcp::endpoint() : net::ParseEndpoint(address)),
      address_(address),
      version_(version),
      silence_timer_(io),
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
  // After two redirections in a row, without an update between them, the oldest connection is the one kept.
  if (former_)
    Close(current_);
  else
    former_ = current_;
  Connect();
}

void RegistryWatch::Stop() {
  stopped_ = true;
  silence_timer_.Cancel();
  retry_timer_.Cancel();
  Close(current_);
  Close(former_);
}

void RegistryWatch::Connect() {
  ++counters_.connects;
  const auto connection = std::make_shared<Connection>(io_);
  current_ = connection;
  silence_timer_.ExpireAfter(std::chrono::microseconds(backoff_.response_timeout()), [this, connection] {
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
                                       OnBytes(connection, size);
                                     });
}

void RegistryWatch::OnBytes(const ConnectionPtr& connection, std::size_t size) {
  const bool had_begun = connection->parser.begun();
  std::vector<std::string> values;
  const bool goes_on = connection->parser.Feed(std::string_view(connection->buffer.data(), size), values);
  if (!had_begun && connection->parser.begun()) RestartHeartbeatTimer(connection);
  for (const std::string& value : values) OnValue(connection, value);
  // The update that the invalid value would have been, such as the drain of a server, is in the complete
  // list.
  if (connection->update_missed && connection == current_) {
    version_ = 0;
    return Disconnect(connection, {Kind::kInvalidValue, {}});
  }
  if (!goes_on) return Disconnect(connection, {Kind::kResponseEnded, {}});
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
    // Versions of two addresses are not comparable: those of the former one must not be sent to this one.
    version_ = listing.version;
    Close(former_);
  }
  connection->update_missed = connection->update_missed && !listing.complete;
  on_update_(listing);
}

// An invalid value does not count as a sign of life: a watch that brings nothing else times out.
void RegistryWatch::OnInvalidValue(const ConnectionPtr& connection, const std::string& reason) {
  connection->update_missed = true;
  ++counters_.invalid_values;
  if (counters_.invalid_values > 1) return;
  LogWarning("discovery_bad_line", "discovery sent a line that cannot be used: " + reason, {{"why", reason}});
}

void RegistryWatch::Disconnect(const ConnectionPtr& connection, const WatchFailure& failure) {
  if (stopped_) return;
  if (connection == former_) return Close(former_);
  if (connection != current_) return;
  Close(current_);
  silence_timer_.Cancel();
  ++counters_.disconnects;
  // Logged once an outage: the attempts that follow are counted.
  if (backoff_.failures() == 0) {
    const std::string reason = ToText(failure);
    LogWarning("discovery_lost", "discovery watch lost: " + reason, {{"why", reason}});
  }
  retry_timer_.ExpireAfter(std::chrono::microseconds(backoff_.NextDelay()), [this] { Connect(); });
}

void RegistryWatch::RestartHeartbeatTimer(const ConnectionPtr& connection) {
  // The former connection ends with the first update of the new one, or by itself.
  if (connection != current_) return;
  silence_timer_.ExpireAfter(std::chrono::microseconds(PollBackoff::kHeartbeatTimeout), [this, connection] {
    Disconnect(connection, {Kind::kHeartbeatTimeout, {}});
  });
}

void RegistryWatch::Close(ConnectionPtr& connection) {
  std::error_code ignored;
  if (connection) connection->socket.close(ignored);
  connection.reset();
}

}  // namespace tulipyoke::discovery
