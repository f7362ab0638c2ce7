// From a record's change to the first and the last request that follows it, on loopback with the whole
// router: DNS-SD in each mode against the registry's watch, on the same change. Prints a line a source.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "src/config/config.hpp"
#include "src/server/server.hpp"
#include "standins/dns_responder.hpp"
#include "standins/pg_client.hpp"
#include "standins/pg_server.hpp"
#include "standins/registry.hpp"

namespace {

using namespace tulipyoke;
using namespace std::chrono_literals;
using standins::Loop;

struct Waits {
  std::vector<double> last_old, first_new;
};

std::string Row(std::vector<double> ms) {
  std::sort(ms.begin(), ms.end());
  char text[96];
  std::snprintf(text, sizeof text, "p50 %.0f p99 %.0f worst %.0f ms", ms[ms.size() / 2],
                ms[ms.size() * 99 / 100], ms.back());
  return text;
}

// When that server last (or first since `from`) got a request.
Micros Edge(const std::vector<checks::Event>& events, const std::string& server, Micros from, bool last) {
  Micros edge = 0;
  for (const checks::Event& event : events) {
    const auto* reached = std::get_if<checks::Reached>(&event.what);
    if (!reached || reached->server != server || event.when < from) continue;
    edge = event.when;
    if (!last) return edge;
  }
  return edge;
}

Waits Measure(const std::string& source, int rounds) {
  Loop loop;
  checks::History history;
  standins::DnsResponder responder(loop, "derby.example.org");
  standins::Registry registry(loop);
  standins::PgServer a(loop, history, "a"), b(loop, history, "b");
  const auto records = [](const standins::PgServer& server) {
    return standins::Published{server.name(), "127.0.0.1", server.port(), {"started=1000"}, 1, ""};
  };
  int revision = 1;
  const auto member = [](const standins::PgServer& server, const char* phase) {
    return nlohmann::json{{"id", server.name()},
                          {"host_port", "127.0.0.1:" + std::to_string(server.port())},
                          {"phase", phase},
                          {"up_since_ms", 1000}};
  };
  const auto tell = [&](const nlohmann::json& members, bool whole) {
    registry.Tell(nlohmann::json{{"revision", ++revision}, {"complete", whole}, {"members", members}}.dump(),
                  whole);
  };
  responder.Publish({records(a), records(b)});
  tell(nlohmann::json::array({member(a, "in_service"), member(b, "in_service")}), true);

  nlohmann::json config{
      {"name", "n"},
      {"listen", "127.0.0.1:0"},
      {"discovery", "127.0.0.1:" + std::to_string(registry.port())},
      {"limits", {{"sockets", 256}}},
      {"settings",
       {{"services", {{{"name", "any"}, {"aim", 300000}, {"deadline", 2000000}, {"semantics", "free"}}}},
        {"domain", {{"freshness", {"loose"}}}},
        {"rules",
         {{"cold_from", 0.15},
          {"warm_after", 18000000},
          {"tip_multiple", 3.0},
          {"fall", 3000000},
          {"drain_grace", 2000000}}}}}};
  if (source != "registry") {
    config["membership"] = {{"flapping", {{"hold_over", 1000}, {"most", 1000}}},
                            {"sources",
                             {{{"type", "dns-sd"},
                               {"zone", "derby.example.org"},
                               {"mode", source},
                               {"look_ms", 250},
                               {"least_refresh_ms", 250},
                               {"resolvers", {responder.address()}}}}}};
  }
  net::Server node(ParseConfig(config.dump()));
  std::thread thread([&] { node.Run(); });
  Waits waits;
  {
    standins::PgCrowd crowd(node.port(), history, "n", 8, "any", 0);
    std::this_thread::sleep_for(1500ms);
    for (int round = 0; round < rounds; ++round) {
      const Micros gone = Loop::Now();
      if (source == "registry")
        tell(nlohmann::json::array({member(b, "terminating")}), false);
      else
        responder.Withdraw({"b"});
      std::this_thread::sleep_for(900ms + 7ms * round);
      const Micros back = Loop::Now();
      waits.last_old.push_back(
          static_cast<double>(std::max<Micros>(0, Edge(history.Events(), "b", gone, true) - gone)) / 1e3);
      if (source == "registry")
        tell(nlohmann::json::array({member(b, "in_service")}), false);
      else
        responder.Publish({records(b)});
      std::this_thread::sleep_for(900ms + 11ms * round);
      const Micros first = Edge(history.Events(), "b", back, false);
      if (first != 0) waits.first_new.push_back(static_cast<double>(first - back) / 1e3);
    }
  }
  std::raise(SIGTERM);  // ends the node as in service
  thread.join();
  loop.Stop();  // before the stand-ins that live in it
  return waits;
}

}  // namespace

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? std::atoi(argv[1]) : 20;
  for (const char* source : {"registry", "poll", "serial", "transfer"}) {
    const Waits waits = Measure(source, rounds);
    std::printf("%-9s last request to who left: %s; first to who came back (%zu of %d): %s\n", source,
                Row(waits.last_old).c_str(), waits.first_new.size(), rounds, Row(waits.first_new).c_str());
    std::fflush(stdout);
  }
  return 0;
}
