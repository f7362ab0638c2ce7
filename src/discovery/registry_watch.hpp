// Watches the endpoint list of the platform's registry with one HTTP request whose response stays open and
// carries a JSON value for each update.
#ifndef TULIPYOKE_SRC_DISCOVERY_REGISTRY_WATCH_HPP_
#define TULIPYOKE_SRC_DISCOVERY_REGISTRY_WATCH_HPP_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/discovery/poll_backoff.hpp"
#include "src/discovery/watch_failure.hpp"
#include "src/discovery/watch_response_parser.hpp"
#include "src/dispatch/endpoint_list.hpp"
#include "src/event_loop/cancellable_timer.hpp"

namespace tulipyoke::discovery {

struct RegistryWatchCounters {
  std::uint64_t connects = 0;  // attempts to connect
  std::uint64_t disconnects = 0;
  std::uint64_t invalid_values = 0;  // values that are not a valid listing
};

// Keeps a watch open and reconnects with backoff. Must be used on the thread that runs `io`, which must
// outlive it.
class RegistryWatch {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;

  // Watches the registry at `address` for changes since `version`. Does nothing if `address` is empty. Throws
  // std::runtime_error if the address is invalid.
  RegistryWatch(asio::io_context& io, OnUpdate on_update, const std::string& address, std::uint64_t version,
                const ReconnectBackoff& backoff);
  ~RegistryWatch() = default;
  RegistryWatch(const RegistryWatch&) = delete;
  RegistryWatch& operator=(const RegistryWatch&) = delete;

  // Reconnects and requests a complete listing.
  void Refresh();
  // Starts to watch another address and requests its complete listing. The previous watch stays open until
  // the new one delivers an update, so that no update is missed in between. Throws std::runtime_error if the
  // address is invalid.
  void Redirect(const std::string& address);
  // Closes all connections and cancels all retries.
  void Stop();
  const RegistryWatchCounters& counters() const { return counters_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Connect();
  void SendRequest(const ConnectionPtr& connection);
  void Read(const ConnectionPtr& connection);
  void OnBytesReceived(const ConnectionPtr& connection, std::size_t size);
  void OnValue(const ConnectionPtr& connection, const std::string& value);
  void OnHeartbeat(const ConnectionPtr& connection);
  void OnListing(const ConnectionPtr& connection, const EndpointList& listing);
  void OnInvalidValue(const ConnectionPtr& connection, const std::string& reason);
  void Disconnect(const ConnectionPtr& connection, const WatchFailure& failure);
  void RestartHeartbeatTimer(const ConnectionPtr& connection);
  bool IsOpen(const ConnectionPtr& connection) const {
    return connection == current_ || connection == previous_;
  }
  static void Close(ConnectionPtr& connection);

  asio::io_context& io_;
  OnUpdate on_update_;
  asio::ip::tcp::endpoint endpoint_;
  std::string address_;    // empty if there is nothing to watch
  std::uint64_t version_;  // of the last update; 0 requests a complete listing
  RegistryWatchCounters counters_;
  net::CancellableTimer liveness_timer_;
  net::CancellableTimer retry_timer_;
  ConnectionPtr current_;   // null while disconnected
  ConnectionPtr previous_;  // to the previous address, until the new one delivers an update
  ReconnectBackoff backoff_;
  bool stopped_ = false;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_REGISTRY_WATCH_HPP_
