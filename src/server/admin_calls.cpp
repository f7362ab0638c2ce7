#include "src/server/admin_calls.hpp"

#include <string_view>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::string_view kServersPath = "/control/servers";

}  // namespace

struct AdminCalls::Route {
  std::string_view path;
  std::string_view method;  // the only one that the path is called with
  AdminResponse (AdminCalls::*answer)();
};

const AdminCalls::Route AdminCalls::kRoutes[] = {
    {"/control/ready", "GET", &AdminCalls::Ready},
    {"/control/counters", "GET", &AdminCalls::Counters},
    {kServersPath, "GET", &AdminCalls::Servers},
    {"/control/out-of-service", "POST", &AdminCalls::OutOfService},
    {"/control/in-service", "POST", &AdminCalls::InService},
};

AdminCalls::AdminCalls(LoopClock& clock, Dispatcher& dispatcher, ServingState& serving_state,
                       const discovery::ServiceDiscovery* directory)
    : clock_(clock), dispatcher_(dispatcher), serving_state_(serving_state), directory_(directory) {}

AdminResponse AdminCalls::Answer(const std::string& method, const std::string& path) {
  const Route* const route = Find(path);
  if (!route) return {HTTP_STATUS_NOT_FOUND, "no such call\n"};
  if (method != route->method) {
    const std::string allowed(route->method);
    return {HTTP_STATUS_METHOD_NOT_ALLOWED, "this call is a " + allowed + "\n", allowed};
  }
  return (this->*route->answer)();
}

const AdminCalls::Route* AdminCalls::Find(const std::string& path) const {
  for (const Route& route : kRoutes) {
    if (route.path != path) continue;
    const bool available = path != kServersPath || directory_ != nullptr;
    return available ? &route : nullptr;
  }
  return nullptr;
}

AdminResponse AdminCalls::Ready() {
  if (serving_state_.ready()) return {HTTP_STATUS_OK, "yes\n"};
  return {HTTP_STATUS_SERVICE_UNAVAILABLE, "no\n"};
}

AdminResponse AdminCalls::Counters() {
  return {HTTP_STATUS_OK, ToText(dispatcher_.StatisticsAt(clock_.Now()), '\n')};
}

AdminResponse AdminCalls::Servers() { return {HTTP_STATUS_OK, ToText(*directory_, clock_.Now())}; }

AdminResponse AdminCalls::OutOfService() {
  serving_state_.TakeOutOfService(clock_.Now());
  LogInfo("taken_out",
          "taken out of service: " + std::to_string(dispatcher_.in_progress()) + " requests are still out");
  return {HTTP_STATUS_OK, "out of service\n"};
}

AdminResponse AdminCalls::InService() {
  if (!serving_state_.ReturnToService()) return {HTTP_STATUS_CONFLICT, "stopping\n"};
  LogInfo("put_back", "put back into service");
  return {HTTP_STATUS_OK, "in service\n"};
}

}  // namespace tulipyoke::net
