// One view of the servers made of any number of sources: the platform's registry, DNS-SD zones, a list in the
// configuration. Decides whose word holds, what a vanished entry means, when a name that returns is a new
// process, who is held down for flapping and how many cold ones are let in at a time. Gives the exchange a
// EndpointList; which server takes a request is the decision module's matter. No I/O. Times are microseconds
// of one clock that was set to Unix time once.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/membership/admission.hpp"
#include "src/membership/flapping.hpp"

namespace tulipyoke::membership {

struct Options {
  // How long a server that vanished stays on the list as draining, so that what runs there is let finish and
  // its early return finds it as it was. At least the longest deadline and the rule's grace.
  Micros linger = 10'000'000;
  // What is remembered of a server that nobody names any more: a drain that one source told, flapping.
  Micros memory = 120'000'000;
  std::size_t most_servers = 20'000;  // over all sources; more are not taken in
  Micros warm_after = 20'000'000;     // a process that started less long ago is cold
  FlapOptions flapping;
  AdmissionOptions admission;
};

// What one source says of one server.
enum class Word { kNothing, kReady, kDraining, kVanished };

// Why a server is listed as it is, for staff.
enum class Reason {
  kReady,     // every source that names it has it in service
  kWaiting,   // it is new or cold and not let in yet
  kTold,      // a source has it as terminating
  kVanished,  // a source that named it does so no more
  kHeldDown,  // it came and went too often
};
const char* ToText(Reason reason);

struct ServerView {
  ListedServer listed;
  Reason reason = Reason::kReady;
  std::vector<std::string> sources;  // that name it, and those whose word drains it with a `-` before them
  Micros since = 0;                  // of this reason
};

struct Counters {
  std::uint64_t vanished = 0, returned = 0, restarts = 0, moved = 0;
  std::uint64_t disagreed = 0;  // servers that one source drained while another had them in service
  std::uint64_t held_down = 0, admitted = 0, over = 0;
};

class Membership {
 public:
  // Sources in the order of their weight: where two name different places for one server, the first one's
  // holds; any of them may drain it.
  Membership(const Options& options, std::vector<std::string> sources);

  // A complete list tells that whoever is missing has vanished, as an entry that is gone does.
  void Heard(Micros now, std::size_t source, const EndpointList& listing);
  // What a source last told, from before this start: its servers are known, but it has told no list yet.
  void Remember(Micros now, std::size_t source, const EndpointList& listing);
  // The source is not followed any more: its word, drains included, counts no longer.
  void Dropped(Micros now, std::size_t source);
  void Tick(Micros now);
  std::optional<Micros> NextDue() const;
  // What changed since the last call; nothing where nothing did.
  std::optional<EndpointList> TakeListing();

  std::vector<ServerView> View() const;
  const Counters& counters() const { return counters_; }
  std::size_t size() const { return servers_.size(); }

 private:
  struct Claim {
    Word word = Word::kNothing;
    ListedServer listed;
    Micros since = 0;
  };
  struct Server {
    std::vector<Claim> claims;  // by source
    FlapRecord flaps;
    std::string address;               // of the process believed to be there
    std::int64_t started_ms = 0;       // when it started, told or concluded; 0: not known
    std::int64_t told_started_ms = 0;  // the newest start that any source named
    bool let_in = false;               // by admission; for as long as it is on the list
    int queued_for = -1;               // the set for which it waits for admission
    bool disputed = false;
    Micros away_since = 0;  // since when it is drained for having vanished
    Micros due = 0;         // of its entry in due_; 0: none
    Reason reason = Reason::kWaiting;
    Micros since = 0;
    int held_in = 0;                   // the set that counts it as held down
    std::optional<ListedServer> told;  // as the exchange has it
  };
  using Entry = std::pair<const std::string, Server>;

  void Read(Micros now, std::size_t source, const EndpointList& listing);
  void Take(Micros now, std::size_t source, const ListedServer& listed);
  void Vanish(Micros now, std::size_t source, Entry& entry);
  // Whether a new process is there, and what else that ends.
  void NoteProcess(Micros now, std::size_t source, Server& server, Word before);
  // The decision, from all that is known of one server.
  Reason ReasonFor(const Server& server) const;
  bool HoldsDown(const Server& server) const;
  void Judge(Micros now, Entry& entry);
  void Tell(Entry& entry, std::optional<ListedServer> listed);
  const Claim* Placing(const Server& server) const;
  bool Named(const Server& server) const;
  void SetReason(Micros now, Server& server, Reason reason);
  void Arm(Entry& entry, Micros when);
  void Admit(Micros now);
  // Sets whose members are mostly held down: the rest must not bear it all.
  void FreeHeld(Micros now);

  struct GroupCount {
    std::size_t ready = 0, held = 0;  // members as the exchange has them; those held down
  };
  Options options_;
  std::vector<std::string> sources_;
  std::vector<bool> heard_;  // by source: whether it has told a list
  std::map<std::string, Server> servers_;
  std::map<int, GroupCount> groups_;
  Admission admission_;
  Counters counters_;
  std::set<std::pair<Micros, std::string>> due_;
  std::vector<ListedServer> changes_;
  std::uint64_t version_ = 0;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_
