#include "src/server/admin_request_handler.hpp"

#include <string_view>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::string_view kServersPath = "/control/servers";

}  // namespace

struct AdminRequestHandler::Route {
  std::string_view path;
  std::string_view method;  // the only method allowed for the path
  AdminResponse (AdminRequestHandler::*handler)();
};

const AdminRequestHandler::Route AdminRequestHandler::kRoutes[] = {
    {"/control/ready", "GET", &AdminRequestHandler::Ready},
    {"/control/counters", "GET", &AdminRequestHandler::Counters},
    {kServersPath, "GET", &AdminRequestHandler::Servers},
    {"/control/out-of-service", "POST", &AdminRequestHandler::OutOfService},
    {"/control/in-service", "POST", &AdminRequestHandler::InService},
};

AdminRequestHandler::AdminRequestHandler(LoopClock& clock, Dispatcher& dispatcher,
                                         ServingState& serving_state,
                                         const discovery::ServiceDiscovery* dns_sd_discovery)
    : clock_(clock),
      dispatcher_(dispatcher),
      serving_state_(serving_state),
      dns_sd_discovery_(dns_sd_discovery) {}

AdminResponse AdminRequestHandler::Handle(const std::string& method, const std::string& path) {
  const Route* const route = FindRoute(path);
  if (!route) return {HTTP_STATUS_NOT_FOUND, "no such call\n"};
  if (method != route->method) {
    const std::string allowed(route->method);
    return {HTTP_STATUS_METHOD_NOT_ALLOWED, "this call is a " + allowed + "\n", allowed};
  }
  return (this->*route->handler)();
}

const AdminRequestHandler::Route* AdminRequestHandler::FindRoute(const std::string& path) const {
  for (const Route& route : kRoutes) {
    if (route.path != path) continue;
    const bool available = path != kServersPath || dns_sd_discovery_ != nullptr;
    return available ? &route : nullptr;
  }
  return nullptr;
}

AdminResponse AdminRequestHandler::Ready() {
  if (serving_state_.ready()) return {HTTP_STATUS_OK, "yes\n"};
  return {HTTP_STATUS_SERVICE_UNAVAILABLE, "no\n"};
}

AdminResponse AdminRequestHandler::Counters() {
  return {HTTP_STATUS_OK, ToText(dispatcher_.StatisticsAt(clock_.Now()), '\n')};
}

AdminResponse AdminRequestHandler::Servers() {
  return {HTTP_STATUS_OK, ToText(*dns_sd_discovery_, clock_.Now())};
}

AdminResponse AdminRequestHandler::OutOfService() {
  serving_state_.TakeOutOfService(clock_.Now());
  LogInfo("taken_out",
          "taken out of service: " + std::to_string(dispatcher_.in_progress()) + " requests in progress");
  return {HTTP_STATUS_OK, "out of service\n"};
}

AdminResponse AdminRequestHandler::InService() {
  if (!serving_state_.ReturnToService()) return {HTTP_STATUS_CONFLICT, "stopping\n"};
  LogInfo("put_back", "returned to service");
  return {HTTP_STATUS_OK, "in service\n"};
}

}  // namespace tulipyoke::net
