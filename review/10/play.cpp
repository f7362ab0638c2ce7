// Case 10: see claim.txt beside this file. Usage: case PROJECT_ROOT RECORD_FILE
#include <algorithm>
#include <exception>
#include <iostream>

#include "../common-2/settings.hpp"
#include "../common-2/world.hpp"

using namespace review2;

namespace {

struct Attempt {
  const Server* server = nullptr;
  const Arrival* arrival = nullptr;
};

// Whether the outcome proves that the attempt never ran.
bool NeverRan(const Arrival& arrival) { return arrival.end == "refused" || arrival.end == "miss"; }

int Run(const std::string& root, const std::string& record) {
  World world(root, record);
  Discovery discovery(world);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<Json> entries;
  for (int i = 0; i < 6; ++i) {
    Behaviour behaviour;
    behaviour.primary = i == 0;
    servers.push_back(std::make_unique<Server>(world, "s-" + std::to_string(i), 0,
                                               i < 3 ? "derby" : "nottingham", behaviour));
    entries.push_back(servers.back()->Entry());
  }
  discovery.Tell(entries);
  Json settings = TrustSettings();
  settings["services"][2]["semantics"] = "guarded";
  settings["services"][2]["group"] = "zone";
  settings["services"][2]["window"] = 3000000;
  Router router(world, "n0", Configuration(settings, discovery.address(), discovery.Listing()));
  router.Start();
  std::vector<std::unique_ptr<Clients>> clients;
  clients.push_back(std::make_unique<Clients>(world, "n0", router.port()));
  if (!AwaitRouters(world, clients)) return kCouldNotRun;
  int key = 0;
  clients[0]->Repeat(20 * kMs, [&] {
    clients[0]->Ask("history-read", false, 1000, "4f1c", 0, ",k=" + std::to_string(++key));
  });
  world.RunFor(5 * kSecond);
  if (Trouble()) {
    world.Note("s-1 fails all of its requests");
    servers[1]->behaviour.fails = 1;
  }
  world.RunFor(10 * kSecond);
  servers[1]->behaviour.fails = 0;
  world.RunFor(3 * kSecond);
  clients[0]->Stop();
  world.RunFor(2 * kSecond);
  if (!router.Running()) return kCouldNotRun;

  std::map<std::string, std::vector<Attempt>> attempts;
  for (const auto& server : servers) {
    for (const Arrival& arrival : server->arrivals()) {
      attempts[arrival.id].push_back({server.get(), &arrival});
    }
  }
  int repeated = 0, broken = 0;
  for (auto& [id, sent] : attempts) {
    std::sort(sent.begin(), sent.end(), [](const Attempt& left, const Attempt& right) {
      return left.arrival->last_byte < right.arrival->last_byte;
    });
    if (sent.size() < 2) continue;
    ++repeated;
    const Attempt& first = sent[0];
    for (std::size_t i = 1; i < sent.size(); ++i) {
      if (NeverRan(*first.arrival) || sent[i].server->zone() == first.server->zone()) continue;
      ++broken;
      world.Note(id + " went to " + first.server->id() + " in " + first.server->zone() + " (" +
                 first.arrival->end + ") and then to " + sent[i].server->id() + " in " +
                 sent[i].server->zone() + " (" + sent[i].arrival->end + ")");
    }
  }
  const std::string text = std::to_string(broken) + " of " + std::to_string(repeated) +
                           " repeats left the zone in which the first attempt may have run; " +
                           std::to_string(clients[0]->requests().size()) + " requests";
  world.Note(text);
  std::cout << text << "\n";
  return broken == 0 ? kHeld : kBroken;
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
