// One view of the servers from any number of sources: the platform's registry, DNS-SD zones, static lists in
// the configuration. Combines what the sources say (source_precedence), drains servers that vanish
// (vanish_timer), detects restarts (restart_detection), damps flapping (flap_damping) and paces the admission
// of new servers (admission_pacer). The result is a stream of listings; which server takes a request is the
// decision module's matter.
//
// No I/O and no clock of its own. Times are microseconds since the Unix epoch and must not decrease.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/membership/admission_pacer.hpp"
#include "src/membership/flap_damping.hpp"
#include "src/membership/group_counts.hpp"
#include "src/membership/restart_detection.hpp"
#include "src/membership/server_view.hpp"
#include "src/membership/source_precedence.hpp"
#include "src/membership/vanish_timer.hpp"
#include "src/membership/wakeup_schedule.hpp"

namespace tulipyoke::membership {

struct Options {
  VanishOptions vanish;
  std::size_t max_servers = 20'000;  // over all sources; further ones are ignored
  Micros warm_up_time = 20'000'000;  // a process that started less long ago is cold
  FlapDampingOptions flap_damping;
  AdmissionOptions admission;
};

// Events since the start.
struct Counters {
  std::uint64_t vanished = 0;    // announcements withdrawn
  std::uint64_t returned = 0;    // announced in service again by the source from which they had vanished
  std::uint64_t restarts = 0;    // new processes under a known name
  std::uint64_t moved = 0;       // changes of address
  std::uint64_t conflicts = 0;   // servers that one source drained while another had them in service
  std::uint64_t suppressed = 0;  // suppressions for flapping
  std::uint64_t admitted = 0;    // servers admitted after waiting
  std::uint64_t over_limit = 0;  // announcements ignored because of Options::max_servers
};

// Not thread-safe. Sources are given by their index in the constructor's list.
class Membership {
 public:
  // Sources in the order of precedence: where two announce different addresses for one server, the first
  // one's holds; any of them may drain it.
  Membership(const Options& options, std::vector<std::string> sources);

  // Takes in what a source has listed. From a complete listing all servers that it does not name have
  // vanished, as has an entry that is gone.
  void ApplyListing(Micros now, std::size_t source, const EndpointList& listing);
  // Takes in a listing of a source from before this process started: its servers are known, but the next
  // listing is still the source's first.
  void RestoreListing(Micros now, std::size_t source, const EndpointList& listing);
  // Discards all records of a source, drains included. A server that no other source announces vanishes.
  void RemoveSource(Micros now, std::size_t source);
  // Does what is due: removals, the end of suppressions, admissions.
  void Tick(Micros now);
  // When Tick should be called next; none if nothing is pending.
  std::optional<Micros> NextDue() const;
  // The changes since the last call, as an incremental listing; none if there are none.
  std::optional<EndpointList> TakeListing();

  // All servers of which a source says something, by id.
  std::vector<ServerView> ServerViews() const;
  const Counters& counters() const { return counters_; }
  // The number of servers that are remembered.
  std::size_t size() const { return servers_.size(); }

 private:
  struct Server {
    SourceRecords records;
    FlapHistory flap_history;
    ProcessIdentity process;
    VanishTimer vanish_timer;
    bool admitted = false;            // until it is removed from the list
    std::optional<int> queued_group;  // the group in whose admission queue it waits
    bool conflicting = false;
    ServerStatus status = ServerStatus::kAwaitingAdmission;
    std::optional<Micros> status_since;     // none until `status` was first decided
    int suppressed_group = 0;               // the group that counts it while it is suppressed
    std::optional<ListedServer> published;  // as last listed
  };
  using Entry = std::pair<const std::string, Server>;

  void MergeListing(Micros now, std::size_t source, const EndpointList& listing);
  void WithdrawMissing(Micros now, std::size_t source, const EndpointList& listing);
  void Announce(Micros now, std::size_t source, const ListedServer& listed);
  void Withdraw(Micros now, std::size_t source, Entry& entry);
  void TrackProcess(Micros now, std::size_t source, SourceState previous, Server& server);
  void AssumeAdmitted(Micros now, Server& server);

  // Decides a server's state anew from all that is known of it, and publishes and schedules accordingly.
  void Evaluate(Micros now, Entry& entry);
  ServerStatus DetermineStatus(const Server& server) const;
  void SetStatus(Micros now, Server& server, ServerStatus status);
  void UpdateConflict(Server& server);
  void UpdateAdmissionQueue(const std::string& id, Server& server);
  std::optional<ListedServer> ListingFor(Micros now, const Server& server) const;
  std::optional<Micros> NextEvaluation(Micros now, const Server& server) const;
  void Publish(Server& server, std::optional<ListedServer> listed);

  void Wake(Micros now, Entry& entry);
  bool IsForgotten(Micros now, const Server& server) const;
  void Forget(Entry& entry);
  void ReleaseOverSuppressed(Micros now);
  void AdmitWaiting(Micros now);

  Options options_;
  std::vector<std::string> sources_;
  std::vector<bool> has_listed_;  // by source: whether it has given a listing since the start
  std::map<std::string, Server> servers_;
  GroupCounts groups_;
  AdmissionPacer admission_;
  WakeupSchedule wakeups_;
  Counters counters_;
  std::vector<ListedServer> changes_;  // not taken yet
  std::uint64_t version_ = 0;          // of the last listing taken
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_
