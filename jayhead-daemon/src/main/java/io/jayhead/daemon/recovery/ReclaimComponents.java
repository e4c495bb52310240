package io.jayhead.daemon.recovery;

import io.jayhead.daemon.budget.ReclaimLedgerEditor;
import io.jayhead.daemon.charge.ChargeLogReader;
import io.jayhead.daemon.charge.ChargeService;
import io.jayhead.daemon.control.ControlThread;
import io.jayhead.daemon.fleet.Membership;
import io.jayhead.daemon.fleet.PeerLinks;
import io.jayhead.daemon.observe.DecisionLog;

/**
 * The components that the steps of a reclaim use.
 *
 * @param control the control thread
 * @param membership the registered and live routers
 * @param links sends requests to other routers
 * @param ledgers changes the ledger entries of lost routers
 * @param fences raises fencing tokens
 * @param charges commits charges
 * @param chargeLogReader sums the charges in the charge log
 * @param decisions the decision log
 */
public record ReclaimComponents(
        ControlThread control,
        Membership membership,
        PeerLinks links,
        ReclaimLedgerEditor ledgers,
        FenceClient fences,
        ChargeService charges,
        ChargeLogReader chargeLogReader,
        DecisionLog decisions) {}
