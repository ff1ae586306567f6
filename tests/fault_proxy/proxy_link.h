#ifndef CHIVECRANK_TESTS_FAULT_PROXY_PROXY_LINK_H_
#define CHIVECRANK_TESTS_FAULT_PROXY_PROXY_LINK_H_

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>
#include <thread>

#include "chunk_faults.h"

namespace chivecrank::fault_proxy {

/// One connection through the proxy: a thread for each direction copies
/// chunks and lets them meet their faults.
class proxy_link {
 public:
  proxy_link(const Poco::Net::StreamSocket& client,
             const Poco::Net::StreamSocket& server,
             chunk_faults& to_server,
             chunk_faults& to_client);
  ~proxy_link();
  proxy_link(const proxy_link&) = delete;
  proxy_link& operator=(const proxy_link&) = delete;

  /// Both directions have ended.
  bool IsOver() const { return running_ == 0; }

 private:
  void Copy(Poco::Net::StreamSocket from,
            Poco::Net::StreamSocket to,
            chunk_faults& faults);
  /// Returns whether the direction goes on.
  bool Pass(const std::string& chunk,
            std::string& held_back,
            Poco::Net::StreamSocket& to,
            chunk_faults& faults);
  void Reset();
  void End();

  Poco::Net::StreamSocket client_;
  Poco::Net::StreamSocket server_;
  std::atomic<bool> silent_ = false;
  std::atomic<bool> ending_ = false;
  std::atomic<int> running_ = 2;
  std::thread upwards_;
  std::thread downwards_;
};

}  // namespace chivecrank::fault_proxy

#endif  // CHIVECRANK_TESTS_FAULT_PROXY_PROXY_LINK_H_
