// One view of the servers made of any number of sources: the platform's registry, DNS-SD zones, a list in the
// configuration. Decides whose word holds, what a vanished entry means, when a name that returns is a new
// process, who is held down for flapping and how many cold ones are let in at a time. Gives the exchange a
// Listing; which server takes a request is the decision module's matter. No I/O. Times are microseconds of
// one clock that was set to Unix time once.
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

#include "src/exchange/listing.hpp"
#include "src/membership/admission_pacer.hpp"
#include "src/membership/flap_damping.hpp"

namespace tulipyoke::membership {

struct Options {
  // How long a server that vanished stays on the list as draining, so that what runs there is let finish and
  // its early return finds it as it was. At least the longest deadline and the rule's grace.
  Micros removal_delay = 10'000'000;
  // What is remembered of a server that nobody names any more: a drain that one source published, flapping.
  Micros retention = 120'000'000;
  std::size_t max_servers = 20'000;  // over all sources; more are not taken in
  Micros warm_up_time = 20'000'000;  // a process that started less long ago is cold
  FlapDampingOptions flap_damping;
  AdmissionOptions admission;
};

// What one source says of one server.
enum class SourceState { kUnknown, kReady, kDraining, kVanished };

// Why a server is listed as it is, for staff.
enum class Reason {
  kInService,          // every source that names it has it in service
  kAwaitingAdmission,  // it is new or cold and not let in yet
  kTerminating,        // a source has it as terminating
  kVanished,           // a source that named it does so no more
  kSuppressed,         // it came and went too often
};
const char* ToText(Reason reason);

struct ServerView {
  ListedServer listed;
  Reason reason = Reason::kInService;
  std::vector<std::string> sources;  // that name it, and those whose word drains it with a `-` before them
  Micros since = 0;                  // of this reason
};

struct Counters {
  std::uint64_t vanished = 0, returned = 0, restarts = 0, moved = 0;
  std::uint64_t conflicts = 0;  // servers that one source drained while another had them in service
  std::uint64_t suppressed = 0, admitted = 0, over_limit = 0;
};

class Membership {
 public:
  // Sources in the order of their weight: where two name different places for one server, the first one's
  // holds; any of them may drain it.
  Membership(const Options& options, std::vector<std::string> sources);

  // A complete list tells that whoever is missing has vanished, as an entry that is gone does.
  void ApplyListing(Micros now, std::size_t source, const Listing& listing);
  // What a source last published, from before this start: its servers are known, but it has published no list
  // yet.
  void RestoreListing(Micros now, std::size_t source, const Listing& listing);
  // The source is not followed any more: its word, drains included, counts no longer.
  void RemoveSource(Micros now, std::size_t source);
  void Tick(Micros now);
  std::optional<Micros> NextDue() const;
  // What changed since the last call; nothing where nothing did.
  std::optional<Listing> TakeListing();

  std::vector<ServerView> View() const;
  const Counters& counters() const { return counters_; }
  std::size_t size() const { return servers_.size(); }

 private:
  struct SourceRecord {
    SourceState state = SourceState::kUnknown;
    ListedServer listed;
    Micros since = 0;
  };
  struct Server {
    std::vector<SourceRecord> records;  // by source
    FlapHistory flap_history;
    std::string address;                  // of the process believed to be there
    std::int64_t start_ms = 0;            // when it started, published or concluded; 0: not known
    std::int64_t announced_start_ms = 0;  // the newest start that any source named
    bool admitted = false;                // by admission; for as long as it is on the list
    int queued_group = -1;                // the set for which it waits for admission
    bool conflicting = false;
    Micros vanished_at = 0;  // since when it is drained for having vanished
    Micros wakeup = 0;       // of its entry in wakeups_; 0: none
    Reason reason = Reason::kAwaitingAdmission;
    Micros since = 0;
    int suppressed_group = 0;               // the set that counts it as held down
    std::optional<ListedServer> published;  // as the exchange has it
  };
  using Entry = std::pair<const std::string, Server>;

  void Merge(Micros now, std::size_t source, const Listing& listing);
  void ApplyAnnouncement(Micros now, std::size_t source, const ListedServer& listed);
  void ApplyRemoval(Micros now, std::size_t source, Entry& entry);
  // Whether a new process is there, and what else that ends.
  void DetectRestart(Micros now, std::size_t source, Server& server, SourceState before);
  // The decision, from all that is known of one server.
  Reason DecideReason(const Server& server) const;
  bool IsSuppressed(const Server& server) const;
  void Evaluate(Micros now, Entry& entry);
  void Publish(Entry& entry, std::optional<ListedServer> listed);
  const SourceRecord* AuthoritativeRecord(const Server& server) const;
  bool IsAnnounced(const Server& server) const;
  void SetReason(Micros now, Server& server, Reason reason);
  void ScheduleWakeup(Entry& entry, Micros when);
  void AdmitWaiting(Micros now);
  // Sets whose members are mostly held down: the rest must not bear it all.
  void ReleaseSuppressed(Micros now);

  struct GroupCounts {
    std::size_t ready = 0, suppressed = 0;  // members as the exchange has them; those held down
  };
  Options options_;
  std::vector<std::string> sources_;
  std::vector<bool> source_has_list_;  // by source: whether it has published a list
  std::map<std::string, Server> servers_;
  std::map<int, GroupCounts> groups_;
  AdmissionPacer admission_;
  Counters counters_;
  std::set<std::pair<Micros, std::string>> wakeups_;
  std::vector<ListedServer> changes_;
  std::uint64_t version_ = 0;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_
