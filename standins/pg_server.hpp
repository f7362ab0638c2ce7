// A readings server's stand-in on loopback: speaks its side of the platform's protocol, plays a primary or a
// replica of one set, does wrong what its script says, and records what reached it. All servers of one loop
// share its thread, so that hundreds cost little.
#ifndef TULIPYOKE_STANDINS_PG_SERVER_HPP_
#define TULIPYOKE_STANDINS_PG_SERVER_HPP_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "checks/history.hpp"
#include "standins/loop.hpp"

namespace tulipyoke::standins {

struct PgBehaviour {
  bool primary = false;
  Micros lag = 0;          // how far a replica's position is behind
  Micros service = 2'000;  // until an answer
  Micros work = 2'000;     // what one request costs a server at full capacity, which does one after another
  bool hangs = false;      // takes requests and answers none
  bool refuses = false;    // 53300
  bool fails = false;      // XX000, though it ran
  bool resets = false;     // ends the connection instead of an answer
  // Writes an answer, or reads a statement, in pieces of so many bytes with a pause behind each; 0: at once.
  std::size_t write_piece = 0, read_piece = 0;
  Micros write_interval = 0, read_interval = 0;
};

class PgServer {
 public:
  // `name` is its own in the history; `value` is what every read gives.
  PgServer(Loop& loop, checks::History& history, std::string name, std::string value = "v");
  ~PgServer();

  std::uint16_t port() const { return port_; }
  const std::string& name() const { return name_; }
  void Behave(const PgBehaviour& behaviour);
  // Its process starts now: cold.
  void Start(double capacity = 1);
  // Connections taken since the start; statements that reached it, probes apart.
  std::size_t accepted();
  std::size_t statements();
  // The words hang, refuse, fail, reset, well and lag, of the server named by `server`.
  void Register(Script& script);

 private:
  struct Session;
  void Accept();
  void Read(const std::shared_ptr<Session>& session);
  void Take(const std::shared_ptr<Session>& session);
  void Query(const std::shared_ptr<Session>& session, const std::string& text);
  void Answer(const std::shared_ptr<Session>& session, const std::string& request, bool write, bool probe);
  void Write(const std::shared_ptr<Session>& session, std::string bytes);
  void Flush(const std::shared_ptr<Session>& session);
  // Runs `next` after the pause, unless the session has ended.
  void After(Micros pause, const std::shared_ptr<Session>& session, std::function<void()> next);

  Loop& loop_;
  checks::History& history_;
  std::string name_, value_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  PgBehaviour behaviour_;
  std::size_t accepted_ = 0, statements_ = 0;
  Micros free_at_ = 0;  // when it will have worked off all that it took
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_PG_SERVER_HPP_
