#include "internal/wire_codec.h"

namespace chivecrank::entries::internal {

wire::exchange_request ToWire(const routing::exchange_request& request) {
  wire::exchange_request encoded;
  encoded.borrower = request.borrower;
  encoded.wanted = request.wanted;
  encoded.spare = request.spare;
  for (const routing::grant_return& returned : request.returns) {
    wire::grant_return encoded_item;
    encoded_item.number = static_cast<std::int64_t>(returned.number);
    encoded_item.slots = returned.slots;
    encoded.returns.push_back(encoded_item);
  }
  for (const std::uint64_t number : request.renewals)
    encoded.renewals.push_back(static_cast<std::int64_t>(number));
  return encoded;
}

routing::exchange_request FromWire(const wire::exchange_request& request) {
  routing::exchange_request decoded;
  decoded.borrower = request.borrower;
  decoded.wanted = request.wanted;
  decoded.spare = request.spare;
  for (const wire::grant_return& returned : request.returns) {
    decoded.returns.push_back(
        {static_cast<std::uint64_t>(returned.number), returned.slots});
  }
  for (const std::int64_t number : request.renewals)
    decoded.renewals.push_back(static_cast<std::uint64_t>(number));
  return decoded;
}

wire::exchange_answer ToWire(const routing::exchange_answer& answer) {
  wire::exchange_answer encoded;
  encoded.spare = answer.spare;
  for (const routing::slot_grant& grant : answer.grants) {
    wire::slot_grant encoded_item;
    encoded_item.number = static_cast<std::int64_t>(grant.number);
    encoded_item.upstream_id = grant.upstream_id;
    encoded_item.slots = grant.slots;
    encoded.grants.push_back(encoded_item);
  }
  for (const std::uint64_t number : answer.renewed)
    encoded.renewed.push_back(static_cast<std::int64_t>(number));
  return encoded;
}

routing::exchange_answer FromWire(const wire::exchange_answer& answer) {
  routing::exchange_answer decoded;
  decoded.spare = answer.spare;
  for (const wire::slot_grant& grant : answer.grants) {
    decoded.grants.push_back({static_cast<std::uint64_t>(grant.number),
                              grant.upstream_id, grant.slots});
  }
  for (const std::int64_t number : answer.renewed)
    decoded.renewed.push_back(static_cast<std::uint64_t>(number));
  return decoded;
}

}  // namespace chivecrank::entries::internal
