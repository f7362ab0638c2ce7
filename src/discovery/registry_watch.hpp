// Watches the endpoint list of the platform's registry: one HTTP request whose response stays open and
// carries a JSON value for each update.
#ifndef TULIPYOKE_SRC_DISCOVERY_REGISTRY_WATCH_HPP_
#define TULIPYOKE_SRC_DISCOVERY_REGISTRY_WATCH_HPP_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/discovery/reconnect_backoff.hpp"
#include "src/discovery/watch_failure.hpp"
#include "src/discovery/watch_response_parser.hpp"
#include "src/dispatch/endpoint_list.hpp"
#include "src/event_loop/cancellable_timer.hpp"

namespace tulipyoke::discovery {

struct RegistryWatchCounters {
  std::uint64_t connects = 0;  // attempts to connect
  std::uint64_t disconnects = 0;
  std::uint64_t invalid_values = 0;  // that are no update of the list
};

// Keeps a watch open, with backoff. Runs in the thread of `io`, which must outlive it.
class RegistryWatch {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;

  // Watches the registry at `address` for changes since `version`. An empty address: there is nothing to
  // watch. Throws std::runtime_error where the address is invalid.
  RegistryWatch(asio::io_context& io, OnUpdate on_update, const std::string& address, std::uint64_t version,
                const ReconnectBackoff& backoff);
  ~RegistryWatch() = default;
  RegistryWatch(const RegistryWatch&) = delete;
  RegistryWatch& operator=(const RegistryWatch&) = delete;

  // Reconnects for the complete list.
  void Refresh();
  // Watches another address from now on, for its complete list. The former watch is kept until the new one
  // has brought an update, so that none is missed in between. Throws std::runtime_error.
  void Redirect(const std::string& address);
  // Ends the watch for good.
  void Stop();
  const RegistryWatchCounters& counters() const { return counters_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Connect();
  void SendRequest(const ConnectionPtr& connection);
  void Read(const ConnectionPtr& connection);
  void OnBytes(const ConnectionPtr& connection, std::size_t size);
  void OnValue(const ConnectionPtr& connection, const std::string& value);
  void OnHeartbeat(const ConnectionPtr& connection);
  void OnListing(const ConnectionPtr& connection, const EndpointList& listing);
  void OnInvalidValue(const ConnectionPtr& connection, const std::string& reason);
  void Disconnect(const ConnectionPtr& connection, const WatchFailure& failure);
  void RestartHeartbeatTimer(const ConnectionPtr& connection);
  bool IsOpen(const ConnectionPtr& connection) const {
    return connection == current_ || connection == former_;
  }
  static void Close(ConnectionPtr& connection);

  asio::io_context& io_;
  OnUpdate on_update_;
  asio::ip::tcp::endpoint endpoint_;
  std::string address_;    // empty: there is nothing to watch
  std::uint64_t version_;  // of the last update; 0: the complete list is wanted
  RegistryWatchCounters counters_;
  net::CancellableTimer silence_timer_;
  net::CancellableTimer retry_timer_;
  ConnectionPtr current_;  // null: disconnected
  ConnectionPtr former_;   // to the address before, until the new one has brought an update
  ReconnectBackoff backoff_;
  bool stopped_ = false;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_REGISTRY_WATCH_HPP_
