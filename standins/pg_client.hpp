// Clients of the platform's protocol that write down what they asked and what came of it. Blocking; each
// lives in a thread of its own.
#ifndef TULIPYOKE_STANDINS_PG_CLIENT_HPP_
#define TULIPYOKE_STANDINS_PG_CLIENT_HPP_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "checks/history.hpp"
#include "standins/loop.hpp"
#include "standins/pg_peer.hpp"

namespace tulipyoke::standins {

struct Outcome {
  checks::End end = checks::End::kBroken;
  std::string value, code;
};

class PgClient {
 public:
  // `router` is its name in the history; `name` starts the ids of its requests and must be its alone.
  PgClient(std::uint16_t port, checks::History& history, std::string router, std::string name)
      : port_(port), history_(history), router_(std::move(router)), name_(std::move(name)) {}

  // One statement, with its answer. A connection that the router closed between requests is opened anew.
  Outcome Ask(const std::string& request_class, bool write = false, int deadline_ms = 2000,
              const std::string& key = "k", int group = 0) {
    const std::string id = name_ + "-" + std::to_string(next_++);
    const std::string comment = " /* id=" + id + ",c=" + request_class + ",d=" + std::to_string(deadline_ms) +
                                (write ? ",k=" + std::to_string(next_) : "") +
                                ",cluster=" + std::to_string(group) + " */";
    const std::string text =
        write ? "INSERT INTO rows (handle, blob) VALUES ('" + key + "', '\\x01') RETURNING blob" + comment
              : "SELECT blob FROM rows WHERE handle = '" + key + "'" + comment;
    if (!peer_) Connect();
    const Micros now = Loop::Now();
    history_.Add(now, checks::Asked{id, router_, request_class, key, now + deadline_ms * 1000});
    Outcome outcome = Exchange(text);
    if (outcome.end == checks::End::kBroken && !fresh_) {
      // The close may have crossed the request: once more on a new connection.
      Connect();
      outcome = Exchange(text);
    }
    fresh_ = false;
    history_.Add(Loop::Now(), checks::Ended{id, outcome.end});
    return outcome;
  }

 private:
  void Connect() {
    socket_io_ = std::make_unique<asio::io_context>();
    tcp::socket socket(*socket_io_);
    std::error_code error;
    socket.connect(Loopback(port_), error);
    peer_ = std::make_unique<Peer>(std::move(socket), false);
    std::string hello;
    pg::AppendStartup(hello, "api", "ledger");
    peer_->Write(hello);
    peer_->UntilReady();
    fresh_ = true;
  }
  Outcome Exchange(const std::string& text) {
    peer_->Write(Query(text));
    Outcome outcome;
    const Messages messages = peer_->UntilReady();
    for (const auto& [type, body] : messages) {
      if (type == 'D') outcome.value = *pg::ParseSingleColumn(body);
      if (type == 'C') outcome.end = checks::End::kServed;
    }
    outcome.code = CodeOf(messages);
    if (outcome.code == "53300" || outcome.code == "57P03") {
      outcome.end = checks::End::kRefused;
    } else if (!outcome.code.empty()) {
      outcome.end = checks::End::kFailed;
    }
    if (messages.back().first == '\0') peer_.reset();
    return outcome;
  }

  std::uint16_t port_;
  checks::History& history_;
  std::string router_, name_;
  std::unique_ptr<asio::io_context> socket_io_;
  std::unique_ptr<Peer> peer_;
  bool fresh_ = false;
  int next_ = 1;
};

// Clients that ask one request behind the other until they are told to stop.
class PgCrowd {
 public:
  PgCrowd(std::uint16_t port, checks::History& history, const std::string& router, int clients,
          std::string request_class, Micros pause = 1'000) {
    for (int i = 0; i < clients; ++i) {
      threads_.emplace_back([this, port, &history, router, i, request_class, pause] {
        PgClient client(port, history, router, router + "-c" + std::to_string(i));
        while (!stop_) {
          const Outcome outcome = client.Ask(request_class);
          (outcome.end == checks::End::kServed ? served_ : unserved_)++;
          std::this_thread::sleep_for(std::chrono::microseconds(pause));
        }
      });
    }
  }
  ~PgCrowd() { Stop(); }
  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  int served() const { return served_; }
  int unserved() const { return unserved_; }

 private:
  std::atomic<bool> stop_ = false;
  std::atomic<int> served_ = 0, unserved_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace tulipyoke::standins

#endif  // TULIPYOKE_STANDINS_PG_CLIENT_HPP_
