// Many client connections in one thread whose pace and end a test chooses: they write or read slowly, stop
// within a message, send as fast as they can, or close with much unread. They do not wait for responses.
#ifndef TULIPYOKE_STANDINS_MISBEHAVING_CLIENTS_HPP_
#define TULIPYOKE_STANDINS_MISBEHAVING_CLIENTS_HPP_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "checks/history.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::standins {

// What a client sends next on a connection.
struct ClientMessage {
  std::string bytes;
  std::string request_id = {};  // empty: not a request
};

enum class ClientClose {
  kNever,
  kClose,     // by close(): resets the connection if responses are unread
  kShutdown,  // ends the sending direction only
  kAbort,     // by a reset
};

struct MisbehaviourOptions {
  std::string name;  // begins the ids of the requests
  int connections = 1;
  std::string startup;  // sent first on each connection
  // The n-th message of a connection, counted from 0. No bytes: the client sends nothing more.
  std::function<ClientMessage(int connection, int n)> next;
  std::size_t write_piece = 65'536;  // bytes sent at once
  Micros write_interval = 0;         // pause between two pieces
  std::size_t max_sent = SIZE_MAX;   // bytes after which a connection sends nothing more
  std::size_t read_piece = 65'536;   // bytes read at once; 0: the client never reads
  Micros read_interval = 0;
  ClientClose close = ClientClose::kNever;
  Micros close_after = 0;   // how long after it has sent all, or `max_sent`, a connection is closed
  Micros max_age = 0;       // a connection is closed at this age at the latest; 0: no limit
  bool reconnects = false;  // a connection that has ended is replaced
  int receive_buffer = 0;   // bytes of the system's buffer; 0: its default
};

class MisbehavingClients {
 public:
  // Starts at once. Adds to the history when each request was written completely and when its client left.
  MisbehavingClients(std::uint16_t port, checks::History& history, MisbehaviourOptions options);
  ~MisbehavingClients() { Stop(); }
  MisbehavingClients(const MisbehavingClients&) = delete;
  MisbehavingClients& operator=(const MisbehavingClients&) = delete;

  void Stop();
  int opened() const { return opened_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  struct Connection;

  void Run();
  bool Open(Connection& connection);
  void Write(Connection& connection);
  void Read(Connection& connection);
  void CloseIfDue(Connection& connection);
  void End(Connection& connection);

  const std::uint16_t port_;
  checks::History& history_;
  const MisbehaviourOptions options_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> opened_ = 0;
  std::atomic<std::uint64_t> bytes_sent_ = 0, bytes_received_ = 0;
  std::thread thread_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_MISBEHAVING_CLIENTS_HPP_
