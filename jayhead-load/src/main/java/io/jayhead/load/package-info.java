/** Load tool: sends requests in an open loop and checks answers, budgets, bills and executions. */
package io.jayhead.load;
