// Scripted peers of PostgreSQL's protocol on plain blocking sockets: a client, and a server whose script says
// what it answers to each query.
#ifndef TULIPYOKE_STANDINS_PG_PEER_HPP_
#define TULIPYOKE_STANDINS_PG_PEER_HPP_

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/message_writer.hpp"

namespace tulipyoke::standins {

using asio::ip::tcp;
using Messages = std::vector<std::pair<char, std::string>>;

inline tcp::endpoint Loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

// A socket that reads whole messages; a test that waits for what never comes fails instead of hanging.
class Peer {
 public:
  explicit Peer(tcp::socket socket, bool startup_first)
      : socket_(std::move(socket)),
        reader_(startup_first ? pg::MessageReader(true, pg::kMaxStatementSize)
                              : pg::MessageReader::ForResponses()) {
    const timeval limit{30, 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  void Write(const std::string& bytes) {
    std::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }
  // The next message; type 0 at the end of the stream.
  std::pair<char, std::string> Next() {
    for (;;) {
      if (const auto message = reader_.Next()) {
        if (message->type == '\0') reader_.EndStartup();
        return {message->type ? message->type : 's', std::string(message->body)};
      }
      if (const auto error = reader_.error()) throw std::runtime_error(std::string(pg::ToText(*error)));
      std::array<char, 4096> bytes;
      const ssize_t size = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), 0);
      if (size <= 0) return {'\0', ""};
      reader_.Feed(std::string_view(bytes.data(), static_cast<std::size_t>(size)));
    }
  }
  Messages UntilReady() {
    Messages seen;
    do {
      seen.push_back(Next());
    } while (seen.back().first != 'Z' && seen.back().first != '\0');
    return seen;
  }
  tcp::socket& socket() { return socket_; }

 private:
  tcp::socket socket_;
  pg::MessageReader reader_;
};

// Answers each query with what the script says; an empty text closes the connection.
class ScriptedServer {
 public:
  using Script = std::function<std::string(const std::string& query)>;

  // With `once` it closes behind its first answer.
  explicit ScriptedServer(Script script, bool once = false)
      : script_(std::move(script)), once_(once), acceptor_(io_, Loopback(0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~ScriptedServer() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (std::thread& t : sessions_) t.join();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::vector<std::string> queries() {
    const std::lock_guard lock(mutex_);
    return queries_;
  }

 private:
  void Serve() {
    for (;;) {
      std::error_code error;
      tcp::socket socket = acceptor_.accept(error);
      if (error) return;
      auto peer = std::make_shared<Peer>(std::move(socket), true);
      sessions_.emplace_back([this, peer] { Session(*peer); });
    }
  }
  void Session(Peer& peer) {
    if (peer.Next().first != 's') return;
    std::string hello;
    pg::AppendAuthenticationOk(hello);
    pg::AppendReadyForQuery(hello);
    peer.Write(hello);
    for (auto message = peer.Next(); message.first == 'Q'; message = peer.Next()) {
      const std::string query = message.second.substr(0, message.second.size() - 1);
      {
        const std::lock_guard lock(mutex_);
        queries_.push_back(query);
      }
      const std::string answer = script_(query);
      if (answer.empty()) return;
      peer.Write(answer);
      if (once_) return;
    }
  }

  Script script_;
  bool once_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::thread thread_;
  std::vector<std::thread> sessions_;
  std::mutex mutex_;
  std::vector<std::string> queries_;
};

inline const std::string kShape("\0\1blob\0\0\0\0\0\0\0\0\0\0\21\xff\xff\xff\xff\xff\xff\0\1", 25);

inline std::string Row(const std::string& value) {
  std::string out;
  pg::AppendMessage(out, 'T', kShape);
  pg::AppendDataRow(out, value);
  pg::AppendMessage(out, 'C', std::string("SELECT 1\0", 9));
  pg::AppendParameterStatus(out, "replication_role", "standby");
  pg::AppendReadyForQuery(out);
  return out;
}

inline std::string Query(const std::string& text) {
  std::string out;
  pg::AppendMessage(out, 'Q', text + '\0');
  return out;
}
inline std::string Ask(const std::string& id) {
  return Query("SELECT blob FROM rows WHERE handle = 'k' /* id=" + id + ",c=any,d=20000,cluster=0 */");
}
inline std::string CodeOf(const Messages& messages) {
  for (const auto& [type, body] : messages) {
    if (type == 'E') return pg::ParseError(body)->code;
  }
  return "";
}

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_PG_PEER_HPP_
