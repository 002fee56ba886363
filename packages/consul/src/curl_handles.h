#pragma once

#include <curl/curl.h>

#include <memory>

namespace cowslip::consul {

struct CurlEasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct CurlMultiDeleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using CurlEasy = std::unique_ptr<CURL, CurlEasyDeleter>;
using CurlMulti = std::unique_ptr<CURLM, CurlMultiDeleter>;
using CurlList = std::unique_ptr<curl_slist, CurlListDeleter>;

/// Keeps an easy handle attached to a multi handle.
class CurlAttachment {
 public:
  CurlAttachment(CURLM* multi, CURL* easy) : multi_(multi), easy_(easy) {
    curl_multi_add_handle(multi_, easy_);
  }
  CurlAttachment(const CurlAttachment&) = delete;
  CurlAttachment& operator=(const CurlAttachment&) = delete;
  ~CurlAttachment() { curl_multi_remove_handle(multi_, easy_); }

 private:
  CURLM* multi_;
  CURL* easy_;
};

}  // namespace cowslip::consul
