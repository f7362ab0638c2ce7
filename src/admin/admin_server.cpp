#include "src/admin/admin_server.hpp"

#include <array>
#include <chrono>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <utility>

#include "src/admin/http_request_parser.hpp"

namespace tulipyoke::net {
namespace {

// Limit of open connections. A further one replaces the oldest: idle connections must neither lock out an
// operator nor use up the file descriptors that clients need.
constexpr std::size_t kMaxConnections = 16;
// A complete request must arrive within this time.
constexpr auto kRequestTimeout = std::chrono::seconds(5);
// How long the caller may take to read the response and close the connection.
constexpr auto kLingerTimeout = std::chrono::seconds(1);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
// In bytes.
constexpr std::size_t kReadBufferSize = 1024;

}  // namespace

struct AdminServer::Connection {
  Connection(asio::ip::tcp::socket accepted, asio::io_context& io) : socket(std::move(accepted)), timer(io) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  HttpRequestParser parser;
  bool responded = false;
  bool closed = false;
  std::string output;
  std::array<char, kReadBufferSize> input{};
};

AdminServer::AdminServer(asio::io_context& io, const asio::ip::tcp::endpoint& listen, Handler handler)
    : io_(io), handler_(std::move(handler)), acceptor_(io), accept_retry_timer_(io) {
  Listen(listen);
  Accept();
}

AdminServer::~AdminServer() = default;

void AdminServer::Listen(const asio::ip::tcp::endpoint& endpoint) {
  try {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
  } catch (const std::system_error& error) {
    throw std::runtime_error("admin server cannot listen on port " + std::to_string(endpoint.port()) +
                             " of " + endpoint.address().to_string() + ": " + error.code().message());
  }
}

void AdminServer::Accept() {
  acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) return RetryAcceptAfterDelay();
    AddConnection(std::move(socket));
    Accept();
  });
}

// Called after an error such as a lack of file descriptors, which an immediate retry would meet again.
void AdminServer::RetryAcceptAfterDelay() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](std::error_code error) {
    if (!error) Accept();
  });
}

void AdminServer::AddConnection(asio::ip::tcp::socket socket) {
  if (connections_.size() >= kMaxConnections) {
    ++counters_.timed_out;
    Close(ConnectionPtr(connections_.front()));
  }
  const auto connection = std::make_shared<Connection>(std::move(socket), io_);
  connections_.push_back(connection);
  ArmRequestTimeout(connection);
  Read(connection);
}

void AdminServer::ArmRequestTimeout(const ConnectionPtr& connection) {
  connection->timer.expires_after(kRequestTimeout);
  connection->timer.async_wait([this, connection](std::error_code error) {
    if (error || connection->closed || connection->responded) return;
    ++counters_.timed_out;
    Respond(connection, {HTTP_STATUS_REQUEST_TIMEOUT, "no whole call came in time\n"});
  });
}

void AdminServer::Read(const ConnectionPtr& connection) {
  connection->socket.async_read_some(asio::buffer(connection->input),
                                     [this, connection](std::error_code error, std::size_t size) {
                                       if (connection->closed) return;
                                       if (error) return Close(connection);
                                       if (!connection->responded) ParseInput(connection, size);
                                       if (!connection->closed) Read(connection);
                                     });
}

void AdminServer::ParseInput(const ConnectionPtr& connection, std::size_t size) {
  HttpRequestParser& parser = connection->parser;
  switch (parser.Feed(std::string_view(connection->input.data(), size))) {
    case HttpRequestParser::Progress::kIncomplete:
      return;
    case HttpRequestParser::Progress::kMalformed:
      ++counters_.malformed;
      return Respond(connection, {HTTP_STATUS_BAD_REQUEST, "not a call in HTTP/1.1\n"});
    case HttpRequestParser::Progress::kComplete:
      ++counters_.requests;
      return Respond(connection, handler_(parser.method(), parser.Path()));
  }
}

// Writes the response, then waits for the caller to close the connection: closing it at once could discard
// data that the caller has not read.
void AdminServer::Respond(const ConnectionPtr& connection, const AdminResponse& response) {
  connection->responded = true;
  connection->output = SerializeHttpResponse(response);
  asio::async_write(connection->socket, asio::buffer(connection->output),
                    [this, connection](std::error_code error, std::size_t) {
                      if (connection->closed) return;
                      if (error) return Close(connection);
                      std::error_code ignored;
                      connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                    });
  connection->timer.expires_after(kLingerTimeout);
  connection->timer.async_wait([this, connection](std::error_code error) {
    if (!error) Close(connection);
  });
}

void AdminServer::Close(const ConnectionPtr& connection) {
  if (connection->closed) return;
  connection->closed = true;
  connection->timer.cancel();
  std::error_code ignored;
  connection->socket.close(ignored);
  connections_.remove(connection);
}

void AdminServer::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  for (const ConnectionPtr& connection : std::list<ConnectionPtr>(connections_)) Close(connection);
}

}  // namespace tulipyoke::net
