#pragma once

#include <cstddef>
#include <vector>

#include "cowslip/peers/peer_table.h"

namespace cowslip::peers {

/// Sidecars that keep a copy of the configuration: enough that some survive the
/// loss of a data centre, and a number that does not grow with the deployment.
inline constexpr std::size_t kDocumentHolders = 8;

/// Chooses the sidecars that keep a copy of the configuration document, for
/// balancers that start while neither the store nor another balancer answers.
///
/// Rendezvous hashing: balancers with equal tables choose the same ones, and a
/// sidecar that joins or leaves changes at most one of them.
std::vector<InstanceAddress> ChooseDocumentHolders(const PeerTable& table);

}  // namespace cowslip::peers
