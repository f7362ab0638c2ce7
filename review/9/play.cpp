// Case 9: see claim.txt beside this file. Usage: case PROJECT_ROOT RECORD_FILE
#include <algorithm>
#include <exception>
#include <iostream>

#include "../common-2/settings.hpp"
#include "../common-2/world.hpp"

using namespace review2;

namespace {

constexpr int kRouters = 20;
constexpr Us kOutage = 20 * kSecond;
// Told at the latest 6 s after discovery had it and could be reached; 250 ms of grace; on sockets every time
// limit is 50 ms longer.
constexpr Us kToldWithin = 6 * kSecond, kGrace = 250 * kMs, kSlack = 50 * kMs;

int Run(const std::string& root, const std::string& record) {
  World world(root, record);
  Discovery discovery(world);
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 4; ++i) {
    Behaviour behaviour;
    behaviour.primary = i == 0;
    behaviour.service = 90 * kMs;
    servers.push_back(std::make_unique<Server>(world, "s-" + std::to_string(i), 0,
                                               i % 2 ? "zizkov" : "holesovice", behaviour));
  }
  std::vector<Json> entries;
  for (const auto& server : servers) entries.push_back(server->Entry());
  discovery.Tell(entries);

  std::vector<std::unique_ptr<Router>> routers;
  std::vector<std::unique_ptr<Clients>> clients;
  for (int i = 0; i < kRouters; ++i) {
    Json settings = PrahaSettings();
    settings["n_instances"] = kRouters;
    settings["me"] = i;
    const std::string name = "n" + std::to_string(i);
    routers.push_back(std::make_unique<Router>(
        world, name, Configuration(settings, discovery.address(), discovery.Listing())));
    routers.back()->Start();
    clients.push_back(std::make_unique<Clients>(world, name, routers.back()->port()));
  }
  if (!AwaitRouters(world, clients)) return kCouldNotRun;
  world.Note("all routers are ready");
  for (const auto& each : clients) {
    each->Repeat(33 * kMs, [&each] { each->Ask("list-read", false, 2000, "4f1c", 0); });
  }
  world.RunFor(4 * kSecond);

  if (Trouble()) {
    world.Note("discovery is down: watches end, calls are answered with 503");
    discovery.SetDown(true);
  }
  world.RunFor(kOutage);
  // Discovery is back and has, from this moment on, that s-2 drains.
  discovery.SetDown(false);
  Server& drained = *servers[2];
  drained.behaviour.draining = true;
  discovery.Tell({drained.Entry("terminating")});
  const Us reachable = Now();
  world.Note("discovery can be reached and has that s-2 drains");
  world.RunFor(22 * kSecond);
  for (const auto& each : clients) each->Stop();
  world.RunFor(kSecond);

  for (const auto& router : routers) {
    if (!router->Running()) return kCouldNotRun;
  }
  const Us limit = reachable + kToldWithin + kGrace + kSlack;
  std::map<std::string, int> late;
  Us last = 0;
  for (const Arrival& arrival : drained.arrivals()) {
    if (arrival.first_byte <= reachable) continue;
    const bool broken = arrival.first_byte > limit;
    world.Note("s-2 got " + arrival.id + " " + std::to_string((arrival.first_byte - reachable) / kMs) +
               " ms after discovery could be reached" + (broken ? ": too late" : ""));
    if (!broken) continue;
    ++late[arrival.id.substr(0, arrival.id.find('-'))];
    last = std::max(last, arrival.first_byte);
  }
  std::size_t served = 0, asked = 0;
  for (const auto& each : clients) {
    asked += each->requests().size();
    for (const Request& request : each->requests()) served += request.code == "served";
  }
  world.Note(std::to_string(asked) + " requests, " + std::to_string(served) + " served; discovery had " +
             std::to_string(discovery.calls()) + " calls");
  if (asked == 0 || served < asked / 2) return kCouldNotRun;
  std::string text = std::to_string(late.size()) + " of " + std::to_string(kRouters) +
                     " routers sent s-2 new requests later than 6.3 s";
  if (!late.empty()) text += "; the last one " + std::to_string((last - reachable) / kMs) + " ms after";
  world.Note(text);
  std::cout << text << "\n";
  return late.empty() ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCouldNotRun;
  try {
    return Run(argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
}
