// A Dispatcher with a fake clock and three listed servers, which records the commands that it issues.
#ifndef TULIPYOKE_TESTS_DISPATCH_DISPATCHER_HARNESS_HPP_
#define TULIPYOKE_TESTS_DISPATCH_DISPATCHER_HARNESS_HPP_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "tests/router_harness.hpp"

namespace tulipyoke {

class DispatcherHarness {
 public:
  // Servers "p", "q" and "r" have the ServerIds 1, 2 and 3; "p" is the primary.
  explicit DispatcherHarness(Settings settings = TestSettings())
      : dispatcher({settings, 1, {"a", "b"}, {}, 250 * kMs}) {
    dispatcher.Start(now, EndpointList{7, true, {ReadyServer("p"), ReadyServer("q"), ReadyServer("r")}});
    CollectCommands();
  }
  static ListedServer ReadyServer(const std::string& id, const std::string& address = "127.0.0.1:1") {
    ListedServer server;
    server.id = id;
    server.address = address;
    server.state = ServerState::kReady;
    server.is_primary = id == "p";
    return server;
  }
  // Submits a request. All requests belong to the same session.
  RequestId Submit(int class_index, Micros timeout = kSecond) {
    ClientRequest request;
    request.class_index = class_index;
    request.timeout = timeout;
    request.session_key = 5;
    const RequestId id = dispatcher.Submit(now, request);
    CollectCommands();
    return id;
  }
  void Finish(OperationId operation_id, Outcome outcome) {
    dispatcher.OperationFinished(now, operation_id, std::move(outcome));
    CollectCommands();
  }
  // Advances the clock, handling each timer when it expires.
  void Advance(Micros span) {
    const Micros end = now + span;
    for (auto expiry = dispatcher.NextTimerExpiry(); expiry && *expiry <= end;
         expiry = dispatcher.NextTimerExpiry()) {
      now = std::max(now, *expiry);
      dispatcher.Tick(now);
      CollectCommands();
    }
    now = end;
  }
  void CollectCommands() {
    for (const Command& command : dispatcher.TakeCommands()) {
      if (const auto* attempt = std::get_if<StartAttempt>(&command)) attempts.push_back(*attempt);
      if (const auto* probe = std::get_if<StartProbe>(&command)) probes.push_back(*probe);
      if (const auto* cancel = std::get_if<CancelOperation>(&command))
        cancelled.push_back(cancel->operation_id);
      if (const auto* remove = std::get_if<RemoveServer>(&command)) removed.push_back(remove->server);
      if (const auto* set = std::get_if<SetAddress>(&command)) addresses[set->server] = set->address;
      if (const auto* send = std::get_if<SendResponse>(&command)) {
        responses[send->id].push_back(send->response);
      }
    }
  }

  Micros now = 1'767'225'600 * kSecond;
  Dispatcher dispatcher;
  std::vector<StartAttempt> attempts;
  std::vector<StartProbe> probes;
  std::vector<OperationId> cancelled;
  std::map<ServerId, std::string> addresses;
  std::vector<ServerId> removed;
  std::map<RequestId, std::vector<Response>> responses;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_TESTS_DISPATCH_DISPATCHER_HARNESS_HPP_
