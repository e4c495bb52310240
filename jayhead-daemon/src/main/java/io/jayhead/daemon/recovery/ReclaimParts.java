package io.jayhead.daemon.recovery;

import io.jayhead.daemon.budget.ReclaimLedgers;
import io.jayhead.daemon.charge.BillReader;
import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.fleet.Membership;
import io.jayhead.daemon.fleet.PeerLinks;
import io.jayhead.daemon.observe.DecisionLog;

/**
 * The services that the steps of a reclaim use.
 *
 * @param control the control thread
 * @param membership the registered and live routers
 * @param links sends requests to other routers
 * @param ledgers changes the ledger entries of lost routers
 * @param fences raises fencing tokens
 * @param charges commits charges
 * @param bills sums the charges in the charge log
 * @param decisions the decision log
 */
public record ReclaimParts(
        ControlThread control,
        Membership membership,
        PeerLinks links,
        ReclaimLedgers ledgers,
        FenceClient fences,
        ChargeService charges,
        BillReader bills,
        DecisionLog decisions) {}
