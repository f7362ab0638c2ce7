// Connections to the servers, and the attempts and probes that travel on them, one at a time on each.
#ifndef TULIPYOKE_SRC_NET_POOL_HPP_
#define TULIPYOKE_SRC_NET_POOL_HPP_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/exchange/exchange.hpp"

namespace tulipyoke::net {

struct PoolOptions {
  Micros connect_timeout = 0;
  Micros idle_close = 0;  // when the servers close what is idle
  std::size_t most_connections = 0;
};

struct PoolCounters {
  std::uint64_t opened = 0, open_failed = 0, retired = 0, given_up = 0, broken = 0, garbage = 0, stray = 0;
  std::uint64_t no_room = 0;
};

class ServerPool {
 public:
  ServerPool(asio::io_context& io, LoopClock& clock, Exchange& exchange, const PoolOptions& options);
  ~ServerPool();

  void Start(const StartAttempt& attempt);
  void Start(const StartProbe& probe);
  void End(Ticket ticket);
  void SetAddress(ServerId server, const std::string& address);
  // Starts nothing more there; what is out is let finish.
  void Forget(ServerId server);
  void CloseIdle(ServerId server);
  // Closes the connection that has been idle longest; false where none is.
  bool ShedIdle();
  void Resize(std::size_t most_connections);
  void Stop();

  std::size_t connections() const { return connections_; }
  const PoolCounters& counters() const { return counters_; }

 private:
  struct Job {
    Ticket ticket = 0;
    std::shared_ptr<const Payload> payload = {};  // none: a probe
    Micros give_up = 0;
    Micros start_by = kNoLimit;
  };
  struct Connection;
  using Link = std::shared_ptr<Connection>;
  struct Site {
    std::optional<asio::ip::tcp::endpoint> endpoint;
    std::deque<Job> waiting;
    std::vector<Link> idle;  // the one used last stands last
    std::vector<Link> opening;
    std::size_t resting = 0;  // answered a moment ago
  };

  void Place(ServerId server, Job job);
  void OpenAsNeeded(ServerId server);
  void Open(ServerId server);
  void Read(const Link& link);
  void OnBytes(const Link& link, std::size_t size);
  void OnStartup(const Link& link, char type, std::string_view body);
  // A value that is passed on as it comes; false: no more is wanted for now.
  void OnLargeRow(const Link& link, std::size_t size);
  void PassOn(const Link& link);
  void OnAnswered(const Link& link);
  void OnGarbage(const Link& link);
  // Closes a connection on which more came than was called for.
  void Retire(const Link& link);
  // Closes it and opens others for what waits.
  void Drop(const Link& link);
  void OnReady(const Link& link);
  void Run(const Link& link, Job job);
  void Write(const Link& link);
  void TooLate(const Link& link);
  void OnBroken(const Link& link);
  void OpenFailed(const Link& link, Status status);
  void Close(const Link& link);
  void FailWaiting(Site& site);
  // Whether its machine has said nothing by now, the end included.
  static bool Quiet(Connection& link);
  // Idle since then or longer: its machine may close it any moment.
  Micros OldestIdle();
  void Sweep();
  void ArmSweep();

  asio::io_context& io_;
  LoopClock& clock_;
  Exchange& exchange_;
  PoolOptions options_;
  PoolCounters counters_;
  CancellableTimer sweep_;
  std::map<ServerId, Site> sites_;
  std::unordered_map<Ticket, Link> busy_;
  std::unordered_map<Ticket, ServerId> waiting_;
  std::size_t connections_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_POOL_HPP_
