// Merges the servers announced by any number of sources (the platform's registry, DNS-SD zones, static lists
// in the configuration) into one stream of listings. Applies the precedence of the sources
// (source_precedence), drains servers that vanish (vanish_timer), detects restarts (restart_detection), damps
// flapping (flap_damping) and limits the rate of admission of new servers (admission_pacer). The decision
// module chooses which server takes a request.
//
// Does no I/O and reads no clock. Times are in microseconds since the Unix epoch and must not decrease.
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
  std::size_t max_servers = 20'000;  // from all sources; further servers are ignored
  Micros warm_up_time = 20'000'000;  // a process that started more recently than this is cold
  FlapDampingOptions flap_damping;
  AdmissionOptions admission;
};

// Numbers of events since the start.
struct Counters {
  std::uint64_t vanished = 0;    // announcements that a source withdrew
  std::uint64_t returned = 0;    // vanished servers that the same source announced as in service again
  std::uint64_t restarts = 0;    // new processes under the name of a known server
  std::uint64_t moved = 0;       // changes of a server's address
  std::uint64_t conflicts = 0;   // times that a server became drained by one source but not by another
  std::uint64_t suppressed = 0;  // suppressions for flapping that were started
  std::uint64_t admitted = 0;    // servers admitted from the admission queue
  std::uint64_t over_limit = 0;  // announcements ignored because Options::max_servers was reached
};

// Not thread-safe. A source is identified by its index in the list passed to the constructor.
class Membership {
 public:
  // `sources` are the names of the sources in order of precedence. If several sources announce a server, the
  // first of them determines its address, but any source can drain it.
  Membership(const Options& options, std::vector<std::string> sources);

  // Applies a listing from a source. A server has vanished if a complete listing omits it or if its entry has
  // the state kGone.
  void ApplyListing(Micros now, std::size_t source, const EndpointList& listing);
  // Applies a listing that the source gave before this process started. The next call of ApplyListing still
  // counts as the source's first listing.
  void RestoreListing(Micros now, std::size_t source, const EndpointList& listing);
  // Discards all records of a source, including its drains. A server that no other source announces vanishes.
  void RemoveSource(Micros now, std::size_t source);
  // Performs the work that is due: removals, ends of suppressions and admissions.
  void Tick(Micros now);
  // Returns when Tick must be called next; nothing if no work is pending.
  std::optional<Micros> NextDue() const;
  // Returns the changes since the last call as an incremental listing; nothing if there are no changes.
  std::optional<EndpointList> TakeListing();

  // Returns the servers of which a source has a record, ordered by id.
  std::vector<ServerView> ServerViews() const;
  const Counters& counters() const { return counters_; }
  // Returns the number of stored servers, including vanished ones that have not expired.
  std::size_t size() const { return servers_.size(); }

 private:
  struct Server {
    SourceRecords records;
    FlapHistory flap_history;
    ProcessIdentity process;
    VanishTimer vanish_timer;
    bool admitted = false;            // reset when the server is removed from the list
    std::optional<int> queued_group;  // the group in whose admission queue the server waits
    bool conflicting = false;
    ServerStatus status = ServerStatus::kAwaitingAdmission;
    std::optional<Micros> status_since;     // not set until `status` is first determined
    int suppressed_group = 0;               // the group in which the server is counted while suppressed
    std::optional<ListedServer> published;  // the server as last listed
  };
  using Entry = std::pair<const std::string, Server>;

  void MergeListing(Micros now, std::size_t source, const EndpointList& listing);
  void WithdrawMissing(Micros now, std::size_t source, const EndpointList& listing);
  void Announce(Micros now, std::size_t source, const ListedServer& listed);
  void Withdraw(Micros now, std::size_t source, Entry& entry);
  void TrackProcess(Micros now, std::size_t source, SourceState previous_state, Server& server);
  void AssumeAdmitted(Micros now, Server& server);

  // Determines a server's status from its records, publishes it and schedules the next evaluation.
  void Evaluate(Micros now, Entry& entry);
  ServerStatus DetermineStatus(const Server& server) const;
  void SetStatus(Micros now, Server& server, ServerStatus status);
  void UpdateConflict(Server& server);
  void UpdateAdmissionQueue(const std::string& id, Server& server);
  std::optional<ListedServer> ListingFor(Micros now, const Server& server) const;
  std::optional<Micros> NextEvaluation(Micros now, const Server& server) const;
  void Publish(Server& server, std::optional<ListedServer> listed);

  void HandleWakeup(Micros now, Entry& entry);
  bool ShouldErase(Micros now, const Server& server) const;
  void EraseServer(Entry& entry);
  void ReevaluateOverSuppressed(Micros now);
  void AdmitQueued(Micros now);

  Options options_;
  std::vector<std::string> sources_;
  std::vector<bool> has_listed_;  // by source: true once it has given a listing
  std::map<std::string, Server> servers_;
  GroupCounts groups_;
  AdmissionPacer admission_;
  WakeupSchedule wakeups_;
  Counters counters_;
  std::vector<ListedServer> changes_;  // not yet returned by TakeListing
  std::uint64_t version_ = 0;          // of the last listing that TakeListing returned
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_MEMBERSHIP_HPP_
