#include "src/admin/admin_response.hpp"

namespace tulipyoke::net {

std::string SerializeHttpResponse(const AdminResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + http_status_str(response.status);
  text += "\r\nContent-Type: text/plain";
  text += "\r\nContent-Length: " + std::to_string(response.body.size());
  if (!response.allowed_method.empty()) text += "\r\nAllow: " + response.allowed_method;
  text += "\r\nConnection: close\r\n\r\n";
  return text + response.body;
}

}  // namespace tulipyoke::net
