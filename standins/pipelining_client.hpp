// A client that sends several statements at once and does not wait for their responses, and that records for
// each statement whether it got exactly one response. Blocking; each client runs in a thread of its own.
#ifndef TULIPYOKE_STANDINS_PIPELINING_CLIENT_HPP_
#define TULIPYOKE_STANDINS_PIPELINING_CLIENT_HPP_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>

#include "checks/history.hpp"
#include "src/pg/message_reader.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::standins {

// Times are microseconds.
struct PipeliningOptions {
  int max_statements = 4;               // of one write
  Micros write_interval = 50'000;       // between two writes
  std::size_t max_unanswered = 40;      // the client sends no more while this many have no response
  int timeout_ms = 1'500;               // that the statements state
  std::size_t piece = 0;                // bytes that it sends at once; 0: as many as the socket takes
  std::size_t read_size = 65'536;       // bytes that it reads at once
  Micros read_interval = 0;             // between two reads; over 0: a slow reader
  std::size_t max_written_value = 100;  // bytes of the values that its write statements hold
  int invalid_in_100 = 0;               // of 100 connections, those that end with an invalid message
  int incomplete_in_100 = 0;            // of 100 connections, those that stop in the middle of a statement
};

// Shared by the clients of one test, which steers them and waits for their progress.
struct PipeliningControl {
  std::atomic<bool> stopped = false;  // send nothing more, and end once all statements are answered
  std::atomic<bool> no_new_connections = false;  // use the present connections until the router ends them
  std::atomic<bool> slow_readers_pause = false;  // slow readers send nothing more
  std::atomic<int> connections = 0, responses = 0, out_of_service_errors = 0;
};

// What the client has seen; the sums over all its connections.
struct PipeliningCounts {
  int connections = 0;
  int served = 0, rejected = 0, failed = 0;
  int lost = 0;       // read by the router, and the connection ended without a response
  int crossed = 0;    // may have crossed the end of the connection
  int mismatch = 0;   // a response that is not one to its statement
  int not_ended = 0;  // connections that the router should have ended and did not
};

class PipeliningClient {
 public:
  // `router` is its name in the history. `name` begins the ids of the requests and belongs to this client
  // alone.
  PipeliningClient(std::uint16_t port, checks::History& history, std::string router, std::string name,
                   std::uint64_t seed, const PipeliningOptions& options);

  // Uses one connection after another as long as `control` allows.
  void Run(PipeliningControl& control);
  const PipeliningCounts& counts() const { return counts_; }

 private:
  enum class Kind { kRead, kWrite, kSet, kEmpty, kInvalid };
  struct Statement {
    Kind kind = Kind::kRead;
    std::string id;       // empty: not a request
    int write = 0;        // the number of the write that held its last byte
    std::size_t end = 0;  // offset in the stream
    Micros written_at = 0;
  };
  enum class Ending { kNone, kInvalid, kIncomplete };
  class Connection;

  std::string NextStatement(Statement& statement);

  std::uint16_t port_;
  checks::History& history_;
  std::string router_, name_;
  std::mt19937_64 random_;
  PipeliningOptions options_;
  PipeliningCounts counts_;
  int next_id_ = 0;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_PIPELINING_CLIENT_HPP_
