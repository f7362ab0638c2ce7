// The admin server: serves HTTP/1.1 to operators and health checks on a port separate from client traffic,
// one request per connection.
#ifndef TULIPYOKE_SRC_ADMIN_ADMIN_SERVER_HPP_
#define TULIPYOKE_SRC_ADMIN_ADMIN_SERVER_HPP_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "src/admin/admin_response.hpp"

namespace tulipyoke::net {

struct AdminCounters {
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  // Connections that sent no complete request in time, or that a newer connection replaced.
  std::uint64_t timed_out = 0;
};

// Not thread-safe: used only on the event loop's thread, which also calls the handler.
class AdminServer {
 public:
  // Returns the response to a complete request; `path` excludes the query.
  using Handler = std::function<AdminResponse(const std::string& method, const std::string& path)>;

  // Starts accepting connections. Throws std::runtime_error if it cannot listen on `listen`.
  AdminServer(asio::io_context& io, const asio::ip::tcp::endpoint& listen, Handler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Closes the listening socket and all connections.
  void Stop();
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const AdminCounters& counters() const { return counters_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Listen(const asio::ip::tcp::endpoint& endpoint);
  void Accept();
  void RetryAcceptAfterDelay();
  void AddConnection(asio::ip::tcp::socket socket);
  void ArmRequestTimeout(const ConnectionPtr& connection);
  void Read(const ConnectionPtr& connection);
  void ParseInput(const ConnectionPtr& connection, std::size_t size);
  void Respond(const ConnectionPtr& connection, const AdminResponse& response);
  void Close(const ConnectionPtr& connection);

  asio::io_context& io_;
  Handler handler_;
  AdminCounters counters_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::list<ConnectionPtr> connections_;  // oldest first
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_ADMIN_ADMIN_SERVER_HPP_
